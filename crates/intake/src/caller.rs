//! Authentication of callers and selection of the queue.

use std::rc::Rc;
use std::time::Duration;

use nutmegwalk_base::CustomerId;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_policy::PolicyView;
use nutmegwalk_workload::JobConfiguration;
use nutmegwalk_workload::Queue;

/// Caller of a queue, authenticated under one version of the configuration.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The configuration under which the call is handled.
    pub configuration: Rc<JobConfiguration>,
    /// The queue selected by host and path.
    pub queue: Queue,
    /// The part of the path after the queue's prefix.
    pub subpath: Box<str>,
    /// The customer that the key belongs to; `None` for an anonymous call to a queue that permits it.
    pub customer: Option<CustomerId>,
}

impl Caller {
    /// Selects the queue and authenticates the call.
    ///
    /// `max_age` is the maximum age of the policy view. In an older view a key may have been revoked without
    /// this process knowing. With `None` a view of any age is used.
    ///
    /// # Errors
    /// `stale_view` when no configuration is known or the view is older than `max_age`, `not_found` when no
    /// queue matches, `unauthenticated` when the queue requires a key and the key is missing or not in force.
    pub fn authenticate(
        policy: &PolicyView,
        max_age: Option<Duration>,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Self> {
        let configuration = policy.configuration();
        if configuration.version == 0 {
            let detail = "no configuration is known yet";
            return Err(Error::new(ErrorKind::StaleView, detail));
        }
        let age = policy.age().unwrap_or(Duration::MAX);
        if max_age.is_some_and(|limit| age > limit) {
            let detail = format!("the configuration was last confirmed {age:?} ago");
            return Err(Error::new(ErrorKind::StaleView, detail));
        }
        let Some(queue) = configuration.select(host, path).cloned() else {
            let detail = format!("no queue has host {host} and path {path}");
            return Err(Error::new(ErrorKind::NotFound, detail));
        };
        let known = key.and_then(|key| configuration.keys.get(key).cloned());
        let customer = match known {
            Some(customer) => Some(customer),
            None if queue.is_anonymous => None,
            None => {
                let detail = "the key is missing or not in force";
                return Err(Error::new(ErrorKind::Unauthenticated, detail));
            }
        };
        let subpath = path[queue.path_prefix.len()..].into();
        Ok(Self {
            configuration,
            queue,
            subpath,
            customer,
        })
    }
}
