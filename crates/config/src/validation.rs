//! Validates a whole configuration document.

use std::collections::BTreeMap;
use std::fmt;

use crate::CapacityConflict;
use crate::Configuration;
use crate::DataCentre;
use crate::Demand;
use crate::Guarantee;
use crate::check_capacity;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Maximum length of a name; names are parts of table keys and file names.
const MAX_NAME_BYTES: usize = 64;
/// Shortest time in which borrowed capacity can be given back: 2 s for a checkpoint and a 6 s gang lease.
const MIN_RECLAIM_MS: u64 = 8_000;
/// Maximum number of workers of one data centre, which bounds the cost of validation.
const MAX_WORKERS: u64 = 100_000;

/// Function that checks whether a data centre has the capacity for a set of guarantees.
pub type CapacityCheck = fn(&DataCentre, &[Demand<'_>]) -> Result<(), CapacityConflict>;

/// The entry of the configuration that a problem refers to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// The document as a whole.
    Document,
    /// A data centre.
    DataCentre(Box<str>),
    /// A service.
    Service(Box<str>),
    /// A customer.
    Customer(Box<str>),
    /// A guarantee, by the names of its customer and of itself.
    Guarantee(Box<str>, Box<str>),
    /// An operator.
    Operator(Box<str>),
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Document => formatter.write_str("configuration"),
            Self::DataCentre(id) => write!(formatter, "data centre {id}"),
            Self::Service(id) => write!(formatter, "service {id}"),
            Self::Customer(id) => write!(formatter, "customer {id}"),
            Self::Guarantee(customer, id) => write!(formatter, "guarantee {customer}/{id}"),
            Self::Operator(id) => write!(formatter, "operator {id}"),
        }
    }
}

/// One validation error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// `invalid_configuration` or `guarantees_clash`.
    pub kind: ErrorKind,
    /// The entry that is invalid.
    pub subject: Subject,
    /// The problem and its remedy.
    pub detail: Box<str>,
}

/// Validates a configuration.
///
/// # Errors
/// `guarantees_clash` when the only problem is that the workers cannot hold all guarantees, otherwise
/// `invalid_configuration`; the detail lists every problem.
pub fn validate(configuration: &Configuration) -> Result<()> {
    let problems = problems(configuration, check_capacity);
    let lines = problems
        .iter()
        .map(|problem| format!("{}: {}", problem.subject, problem.detail));
    to_result(&problems, lines.collect())
}

/// Returns the error for `problems`, with `lines` as its detail, or `Ok` when there are no problems.
pub(crate) fn to_result(problems: &[Problem], lines: Vec<String>) -> Result<()> {
    let clash_only = problems
        .iter()
        .all(|problem| problem.kind == ErrorKind::GuaranteesClash);
    match problems {
        [] => Ok(()),
        _ if clash_only => Err(Error::new(ErrorKind::GuaranteesClash, lines.join("\n"))),
        _ => Err(Error::new(
            ErrorKind::InvalidConfiguration,
            lines.join("\n"),
        )),
    }
}

/// Returns all problems of a configuration. If there are no others, `check_capacity` checks that each data centre
/// can hold all of its guarantees together.
#[must_use]
pub fn problems(configuration: &Configuration, check_capacity: CapacityCheck) -> Vec<Problem> {
    let mut validator = Validator::default();
    validator.check_names(configuration);
    validator.check_data_centres(configuration);
    validator.check_services(configuration);
    validator.check_tokens(configuration);
    for (customer, entry) in &configuration.customers {
        if entry.weight == 0 {
            let subject = Subject::Customer(customer.clone());
            validator.add(subject, "weight is 0; use 1 or more");
        }
        for (name, guarantee) in &entry.guarantees {
            let subject = Subject::Guarantee(customer.clone(), name.clone());
            validator.check_guarantee(configuration, &subject, guarantee);
        }
    }
    if validator.problems.is_empty() {
        // The capacity check requires that each guarantee is valid by itself.
        validator.check_capacity_conflicts(configuration, check_capacity);
    }
    validator.problems
}

/// Collects the problems of a configuration.
#[derive(Default)]
struct Validator {
    problems: Vec<Problem>,
}

impl Validator {
    fn add(&mut self, subject: Subject, detail: impl Into<Box<str>>) {
        self.problems.push(Problem {
            kind: ErrorKind::InvalidConfiguration,
            subject,
            detail: detail.into(),
        });
    }

    fn check_names(&mut self, configuration: &Configuration) {
        let subjects = configuration
            .data_centres
            .keys()
            .map(|id| (id, Subject::DataCentre(id.clone())))
            .chain(
                configuration
                    .services
                    .keys()
                    .map(|id| (id, Subject::Service(id.clone()))),
            )
            .chain(
                configuration
                    .customers
                    .keys()
                    .map(|id| (id, Subject::Customer(id.clone()))),
            )
            .chain(
                configuration
                    .operators
                    .keys()
                    .map(|id| (id, Subject::Operator(id.clone()))),
            )
            .chain(
                configuration
                    .customers
                    .iter()
                    .flat_map(|(customer, entry)| {
                        let subject = |id: &str| Subject::Guarantee(customer.clone(), id.into());
                        entry.guarantees.keys().map(move |id| (id, subject(id)))
                    }),
            );
        for (id, subject) in subjects.collect::<Vec<_>>() {
            if !is_name(id) {
                let detail = format!(
                    "{id:?} is not a name; use 1 to {MAX_NAME_BYTES} lower-case letters, digits and hyphens"
                );
                self.add(subject, detail);
            }
        }
    }

    fn check_data_centres(&mut self, configuration: &Configuration) {
        for (id, data_centre) in &configuration.data_centres {
            let subject = Subject::DataCentre(id.clone());
            // The keys of the lease rows of data centres and of the dispatcher share one namespace.
            if &**id == "dispatch" {
                self.add(
                    subject.clone(),
                    "the name dispatch is reserved; choose another",
                );
            }
            if !is_name(&data_centre.region) {
                let detail = format!("region {:?} is not a name", data_centre.region);
                self.add(subject.clone(), detail);
            }
            for (rack, entry) in &data_centre.racks {
                if !is_name(rack) {
                    self.add(subject.clone(), format!("rack {rack:?} is not a name"));
                }
                if entry.workers == 0 || entry.shape.cores == 0 || entry.shape.memory_mb == 0 {
                    let detail = format!(
                        "rack {rack} has no workers, cores or memory; give each at least 1"
                    );
                    self.add(subject.clone(), detail);
                }
            }
            let workers = data_centre
                .racks
                .values()
                .map(|rack| u64::from(rack.workers));
            let workers = workers.fold(0_u64, u64::saturating_add);
            if workers == 0 || workers > MAX_WORKERS {
                let detail = format!("{workers} workers; a data centre has 1 to {MAX_WORKERS}");
                self.add(subject, detail);
            }
        }
        if configuration.operators.is_empty() {
            let detail = "there is no operator, so nobody could publish again; \
                          add [operators.<name>] with a token_digest";
            self.add(Subject::Document, detail);
        }
    }

    fn check_services(&mut self, configuration: &Configuration) {
        for (id, service) in &configuration.services {
            let subject = Subject::Service(id.clone());
            if service.slots == 0 {
                self.add(subject.clone(), "slots is 0; use 1 or more");
            }
            if service.connections < service.slots {
                let detail = format!(
                    "{} connections cannot fill {} slots; use at least as many connections as slots",
                    service.connections, service.slots
                );
                self.add(subject.clone(), detail);
            }
            if service.deadline_ms == 0 {
                self.add(subject, "deadline_ms is 0; use 1 or more");
            }
        }
    }

    fn check_tokens(&mut self, configuration: &Configuration) {
        let customers = configuration
            .customers
            .iter()
            .map(|(id, entry)| (Subject::Customer(id.clone()), &entry.token_digest));
        let operators = configuration
            .operators
            .iter()
            .map(|(id, entry)| (Subject::Operator(id.clone()), &entry.token_digest));
        let mut seen: BTreeMap<&str, Subject> = BTreeMap::new();
        for (subject, digest) in customers.chain(operators) {
            if !is_digest(digest) {
                let detail = "token_digest is not a BLAKE3 digest; \
                              use the 64 lower-case hexadecimal digits of the token's digest";
                self.add(subject, detail);
            } else if let Some(other) = seen.get(&**digest) {
                let detail = format!("token_digest is also that of {other}; use separate tokens");
                self.add(subject, detail);
            } else {
                seen.insert(digest, subject);
            }
        }
    }

    /// Checks one guarantee, also against the empty data centres that have to provide it.
    fn check_guarantee(
        &mut self,
        configuration: &Configuration,
        subject: &Subject,
        guarantee: &Guarantee,
    ) {
        if guarantee.workers == 0 {
            self.add(subject.clone(), "workers is 0; use 1 or more");
        }
        if guarantee.reclaim_within_ms < MIN_RECLAIM_MS {
            let detail = format!(
                "reclaim_within_ms is {}; use {MIN_RECLAIM_MS} or more, \
                 the shortest time in which borrowed capacity can be given back",
                guarantee.reclaim_within_ms
            );
            self.add(subject.clone(), detail);
        }
        if guarantee.standby.as_ref() == Some(&guarantee.data_centre) {
            let detail = "standby is the data centre itself; name another or leave it out";
            self.add(subject.clone(), detail);
        }
        for id in [Some(&guarantee.data_centre), guarantee.standby.as_ref()] {
            let Some(id) = id else { continue };
            let Some(data_centre) = configuration.data_centres.get(id) else {
                let known: Vec<&str> = configuration.data_centres.keys().map(|id| &**id).collect();
                let detail = format!(
                    "there is no data centre {id}; known data centres: {}",
                    known.join(", ")
                );
                self.add(subject.clone(), detail);
                continue;
            };
            let demand = Demand {
                customer: "",
                name: "",
                guarantee,
            };
            if is_within_size_limit(data_centre) && check_capacity(data_centre, &[demand]).is_err()
            {
                let detail = format!(
                    "{} is more than empty {id} can hold; {}",
                    describe_demand(guarantee),
                    describe_capacity(data_centre)
                );
                self.add(subject.clone(), detail);
            }
        }
    }

    /// Checks that each data centre can hold all guarantees that name it, also as a standby, at the same time.
    fn check_capacity_conflicts(
        &mut self,
        configuration: &Configuration,
        check_capacity: CapacityCheck,
    ) {
        for (id, data_centre) in &configuration.data_centres {
            let demands: Vec<Demand<'_>> = configuration
                .customers
                .iter()
                .flat_map(|(customer, entry)| {
                    entry
                        .guarantees
                        .iter()
                        .map(move |(name, guarantee)| Demand {
                            customer,
                            name,
                            guarantee,
                        })
                })
                .filter(|demand| {
                    demand.guarantee.data_centre == *id
                        || demand.guarantee.standby.as_ref() == Some(id)
                })
                .collect();
            if let Err(conflict) = check_capacity(data_centre, &demands) {
                let detail = format!(
                    "{id} cannot hold {} together with {}; reduce one of them or add workers",
                    conflict.unplaced,
                    conflict.placed.join(", ")
                );
                self.problems.push(Problem {
                    kind: ErrorKind::GuaranteesClash,
                    subject: conflict_subject(&conflict),
                    detail: detail.into(),
                });
            }
        }
    }
}

/// Returns the guarantee that could not be placed as the subject of a problem.
fn conflict_subject(conflict: &CapacityConflict) -> Subject {
    match conflict.unplaced.split_once('/') {
        Some((customer, name)) => Subject::Guarantee(customer.into(), name.into()),
        None => Subject::Document,
    }
}

/// Returns whether the data centre is small enough for the capacity check.
fn is_within_size_limit(data_centre: &DataCentre) -> bool {
    let workers = data_centre
        .racks
        .values()
        .map(|rack| u64::from(rack.workers));
    workers.fold(0_u64, u64::saturating_add) <= MAX_WORKERS
}

fn describe_demand(guarantee: &Guarantee) -> String {
    let shape = &guarantee.shape;
    format!(
        "{} workers of {} cores, {} MB and {} accelerators ({:?} adjacency)",
        guarantee.workers, shape.cores, shape.memory_mb, shape.accelerators, guarantee.adjacency
    )
}

fn describe_capacity(data_centre: &DataCentre) -> String {
    let racks: Vec<String> = data_centre
        .racks
        .iter()
        .map(|(id, rack)| {
            let shape = &rack.shape;
            format!(
                "rack {id} has {} workers of {} cores, {} MB and {} accelerators",
                rack.workers, shape.cores, shape.memory_mb, shape.accelerators
            )
        })
        .collect();
    racks.join(", ")
}

fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-')
}

fn is_digest(text: &str) -> bool {
    text.len() == 64
        && text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
}
