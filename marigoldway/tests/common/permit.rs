//! Deployments of one test program take turns.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Deployments that run side by side, so that the machine isn't crowded.
const MAX_DEPLOYMENTS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// `DeploymentPermit` is the right to run a deployment.
pub struct DeploymentPermit;

impl DeploymentPermit {
    /// Waits for a turn. It ends when the value is dropped.
    pub fn acquire() -> DeploymentPermit {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let mut running = ENDED
            .wait_while(running, |running| *running >= MAX_DEPLOYMENTS)
            .unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        DeploymentPermit
    }
}

impl Drop for DeploymentPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}
