//! The stand-ins and the cases of the second review, in one program that uses the standard library
//! alone. Built by `review/build-2.sh`.

mod case4;
mod case5;
mod case6;
mod cloud;
mod driver;
mod store;
mod util;
mod worker;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match args.first().map(String::as_str) {
        Some("store") => store::run(&args[1..]),
        Some("cloud") => cloud::run(&args[1..]),
        Some("worker") => worker::run(&args[1..]),
        Some("case4") => std::process::exit(case4::run(&args[1], trouble)),
        Some("case5") => std::process::exit(case5::run(&args[1], trouble)),
        Some("case6") => std::process::exit(case6::run(&args[1], trouble)),
        _ => std::process::exit(2),
    }
}
