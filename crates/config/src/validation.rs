//! Checks of a whole configuration document.

use std::collections::BTreeMap;
use std::fmt;

use crate::Clash;
use crate::Configuration;
use crate::DataCentre;
use crate::Demand;
use crate::Guarantee;
use crate::check_capacity;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Longest accepted name; names are parts of table keys and file names.
const MAX_NAME_BYTES: usize = 64;
/// Shortest time in which borrowed capacity can be given back: 2 s for a checkpoint and a 6 s gang lease.
const MIN_RECLAIM_MS: u64 = 8_000;
/// Most workers of one data centre, which bounds the work of the check.
const MAX_WORKERS: u64 = 100_000;

/// Checks whether a data centre has room for a set of guarantees.
pub type CapacityCheck = fn(&DataCentre, &[Demand<'_>]) -> Result<(), Clash>;

/// The entry that a problem is about.
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
    /// A guarantee of a customer.
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

/// One thing that is wrong, with what would be right.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// `invalid_configuration` or `guarantees_clash`.
    pub kind: ErrorKind,
    /// The entry that is wrong.
    pub subject: Subject,
    /// What is wrong and what would be right.
    pub detail: Box<str>,
}

/// Checks a configuration.
///
/// # Errors
/// `guarantees_clash` when the hardware cannot hold all guarantees and nothing else is wrong,
/// otherwise `invalid_configuration`; the detail lists every problem.
pub fn validate(configuration: &Configuration) -> Result<()> {
    let problems = problems(configuration, check_capacity);
    let lines = problems
        .iter()
        .map(|problem| format!("{}: {}", problem.subject, problem.detail));
    to_result(&problems, lines.collect())
}

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

/// Returns everything that is wrong with a configuration; `check_capacity` decides about each data centre.
#[must_use]
pub fn problems(configuration: &Configuration, check_capacity: CapacityCheck) -> Vec<Problem> {
    let mut check = Check::default();
    check.names(configuration);
    check.sites(configuration);
    check.services(configuration);
    check.tokens(configuration);
    for (customer, entry) in &configuration.customers {
        if entry.weight == 0 {
            let subject = Subject::Customer(customer.clone());
            check.add(subject, "weight is 0; use 1 or more");
        }
        for (name, guarantee) in &entry.guarantees {
            let subject = Subject::Guarantee(customer.clone(), name.clone());
            check.guarantee(configuration, &subject, guarantee);
        }
    }
    if check.problems.is_empty() {
        // The embedding relies on guarantees that are sound one by one.
        check.clashes(configuration, check_capacity);
    }
    check.problems
}

#[derive(Default)]
struct Check {
    problems: Vec<Problem>,
}

impl Check {
    fn add(&mut self, subject: Subject, detail: impl Into<Box<str>>) {
        self.problems.push(Problem {
            kind: ErrorKind::InvalidConfiguration,
            subject,
            detail: detail.into(),
        });
    }

    fn names(&mut self, configuration: &Configuration) {
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

    fn sites(&mut self, configuration: &Configuration) {
        for (id, data_centre) in &configuration.data_centres {
            let subject = Subject::DataCentre(id.clone());
            // The lease rows of data centres and of the dispatcher share one name space.
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

    fn services(&mut self, configuration: &Configuration) {
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

    fn tokens(&mut self, configuration: &Configuration) {
        let customers = configuration
            .customers
            .iter()
            .map(|(id, entry)| (Subject::Customer(id.clone()), &entry.token_digest));
        let operators = configuration
            .operators
            .iter()
            .map(|(id, entry)| (Subject::Operator(id.clone()), &entry.token_digest));
        let mut owners: BTreeMap<&str, Subject> = BTreeMap::new();
        for (subject, digest) in customers.chain(operators) {
            if !is_digest(digest) {
                let detail = "token_digest is not a BLAKE3 digest; \
                              use the 64 lower-case hexadecimal digits of the token's digest";
                self.add(subject, detail);
            } else if let Some(other) = owners.get(&**digest) {
                let detail = format!("token_digest is also that of {other}; use separate tokens");
                self.add(subject, detail);
            } else {
                owners.insert(digest, subject);
            }
        }
    }

    fn guarantee(
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
                "reclaim_within_ms is {}; borrowed capacity can be given back in {MIN_RECLAIM_MS} at the soonest",
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
                    "there is no data centre {id}; known are {}",
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
            if data_centre_is_bounded(data_centre)
                && check_capacity(data_centre, &[demand]).is_err()
            {
                let detail = format!(
                    "{} is more than empty {id} can hold; {}",
                    wanted(guarantee),
                    offered(data_centre)
                );
                self.add(subject.clone(), detail);
            }
        }
    }

    fn clashes(&mut self, configuration: &Configuration, check_capacity: CapacityCheck) {
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
            if let Err(clash) = check_capacity(data_centre, &demands) {
                let detail = format!(
                    "{id} cannot hold {} together with {}; reduce one of them or add workers",
                    clash.unplaced,
                    clash.placed.join(", ")
                );
                self.problems.push(Problem {
                    kind: ErrorKind::GuaranteesClash,
                    subject: clash_subject(&clash),
                    detail: detail.into(),
                });
            }
        }
    }
}

fn clash_subject(clash: &Clash) -> Subject {
    match clash.unplaced.split_once('/') {
        Some((customer, name)) => Subject::Guarantee(customer.into(), name.into()),
        None => Subject::Document,
    }
}

fn data_centre_is_bounded(data_centre: &DataCentre) -> bool {
    let workers = data_centre
        .racks
        .values()
        .map(|rack| u64::from(rack.workers));
    workers.fold(0_u64, u64::saturating_add) <= MAX_WORKERS
}

fn wanted(guarantee: &Guarantee) -> String {
    let shape = &guarantee.shape;
    format!(
        "{} workers of {} cores, {} MB and {} accelerators ({:?} adjacency)",
        guarantee.workers, shape.cores, shape.memory_mb, shape.accelerators, guarantee.adjacency
    )
}

fn offered(data_centre: &DataCentre) -> String {
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
