//! A task that ends with its owner.

use tokio::task::JoinHandle;

/// A task that is aborted when this is dropped.
#[derive(Debug)]
pub(crate) struct Task(JoinHandle<()>);

impl Task {
    /// Starts a task.
    pub(crate) fn spawn<F: Future<Output = ()> + Send + 'static>(future: F) -> Self {
        Self(tokio::spawn(future))
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}
