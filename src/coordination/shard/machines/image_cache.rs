//! The images that a machine is assumed to cache.

/// Images that a worker is assumed to cache; the worker decides what it really keeps.
const CAPACITY: usize = 12;

/// The images that a machine has used lately. Invariant: at most [`CAPACITY`] images, the
/// most recently used last.
#[derive(Debug, Default)]
pub(super) struct ImageCache {
    images: Vec<String>,
}

impl ImageCache {
    /// Notes that an image is used; the least recently used one gives way to it.
    pub(super) fn note_use(&mut self, image: &str) {
        self.images.retain(|held| held != image);
        self.images.push(image.to_owned());
        if self.images.len() > CAPACITY {
            self.images.remove(0);
        }
    }

    /// Whether an image is assumed to be cached.
    pub(super) fn contains(&self, image: &str) -> bool {
        self.images.iter().any(|held| held == image)
    }
}
