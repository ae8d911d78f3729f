//! Limits how many deployments of one test program run at a time.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Maximum number of concurrent deployments; more would overload the machine.
const MAX_DEPLOYMENTS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static RELEASED: Condvar = Condvar::new();

/// `DeploymentPermit` allows one deployment to run until it is dropped.
pub struct DeploymentPermit;

impl DeploymentPermit {
    /// Waits until fewer than [`MAX_DEPLOYMENTS`] run.
    pub fn acquire() -> DeploymentPermit {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let mut running = RELEASED
            .wait_while(running, |running| *running >= MAX_DEPLOYMENTS)
            .unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        DeploymentPermit
    }
}

impl Drop for DeploymentPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        RELEASED.notify_one();
    }
}
