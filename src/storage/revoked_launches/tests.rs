use super::*;
use crate::protocol::TaskId;

const TOKEN: FencingToken = FencingToken::new(862);

fn launch(index: u32) -> RevokedLaunch {
    RevokedLaunch {
        machine: format!("vm-{index:06}"),
        agent_epoch: 1,
        task: TaskId::parse(&format!("run-167419/{index}")).expect("a task"),
        attempt: 33_554_469,
    }
}

/// Applies writes to the stored items.
fn store(items: &mut Vec<KeyValue>, mutations: Vec<Mutation>) {
    for mutation in mutations {
        let (Mutation::Put { key, .. } | Mutation::Delete { key }) = &mutation;
        items.retain(|item| item.key != *key);
        if let Mutation::Put { key, value, .. } = mutation {
            items.push(KeyValue {
                key,
                value,
                mod_revision: 1,
                lease: None,
            });
        }
    }
}

#[test]
fn launches_are_read_as_they_were_added_and_are_gone_once_cleared() {
    let mut pages = RevokedLaunchPages::default();
    let mut items = Vec::new();
    let added: Vec<RevokedLaunch> = (0..100).map(launch).collect();
    for launches in added.chunks(7) {
        store(&mut items, pages.add(launches.to_vec(), TOKEN));
    }
    assert_eq!(pages.add(added.clone(), TOKEN), [], "all are recorded");
    assert!(items.len() > 1);
    items.sort_by(|a, b| a.key.cmp(&b.key));
    assert_eq!(decode_pages(&items, TOKEN), added);
    assert_eq!(decode_pages(&items, FencingToken::new(863)), []);
    store(&mut items, pages.clear());
    assert!(items.is_empty());
}

#[test]
fn a_page_fits_into_the_smallest_value() {
    const SMALLEST_VALUE_BYTES: usize = 1024;
    let mut pages = RevokedLaunchPages::default();
    for mutation in pages.add((0..100).map(launch), TOKEN) {
        let Mutation::Put { value, .. } = mutation else {
            panic!("not a page");
        };
        assert!(value.to_string().len() <= SMALLEST_VALUE_BYTES);
    }
}
