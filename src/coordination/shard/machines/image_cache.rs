//! Estimate of which container images a machine has cached.

/// How many images a worker is assumed to cache. The worker itself decides what it keeps.
const ASSUMED_CACHED_IMAGES: usize = 12;

/// The images that a machine used most recently. Invariant: at most [`ASSUMED_CACHED_IMAGES`]
/// images, the most recently used last.
#[derive(Debug, Default)]
pub(super) struct ImageCache {
    images: Vec<String>,
}

impl ImageCache {
    /// Records that an image is used. If the cache exceeds its assumed size, the least recently
    /// used image is removed.
    pub(super) fn note_use(&mut self, image: &str) {
        self.images.retain(|cached| cached != image);
        self.images.push(image.to_owned());
        if self.images.len() > ASSUMED_CACHED_IMAGES {
            self.images.remove(0);
        }
    }

    /// Whether an image is assumed to be cached.
    pub(super) fn contains(&self, image: &str) -> bool {
        self.images.iter().any(|cached| cached == image)
    }
}
