//! Deployments of one test program take turns.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Deployments that run side by side, so that the machine isn't crowded.
const TURNS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// `Turn` is the right to run a deployment.
pub struct Turn;

impl Turn {
    /// Waits for a turn. It ends when the value is dropped.
    pub fn take() -> Turn {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let mut running = ENDED
            .wait_while(running, |running| *running >= TURNS)
            .unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}
