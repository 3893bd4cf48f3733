//! Tests of the order of messages of processes that follow each other.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use nutmegwalk_base::Epoch;
use nutmegwalk_base::Incarnation;
use nutmegwalk_base::succession::Contact;
use nutmegwalk_base::succession::MessageOrder;
use nutmegwalk_base::succession::ReceivedAnswer;

/// Number of generated orders of events, and of events in each.
const HISTORIES: u64 = 2_000;
const EVENTS: u32 = 200;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

/// A message on its way.
#[derive(Clone, Copy, Debug)]
struct Message {
    /// Position of the sender among the processes of its name.
    process: u64,
    number: u64,
    last_answer: ReceivedAnswer,
}

/// An owner and the processes of one name, one after the other. A random number is the incarnation of a process.
struct Model {
    random: StdRng,
    clock_ms: u64,
    epoch: Epoch,
    term_began_ms: u64,
    known: Option<Contact>,
    /// Latest message that was applied in the term: process and number.
    applied: Option<(u64, u64)>,
    incarnations: Vec<Incarnation>,
    number: u64,
    last_answer: ReceivedAnswer,
    on_their_way: Vec<Message>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        Self {
            incarnations: vec![random.random()],
            random,
            clock_ms: 0,
            epoch: 1,
            term_began_ms: 0,
            known: None,
            applied: None,
            number: 0,
            last_answer: ReceivedAnswer::default(),
            on_their_way: Vec::new(),
        }
    }

    fn living(&self) -> u64 {
        self.incarnations.len() as u64 - 1
    }

    fn send(&mut self) -> Message {
        self.number += 1;
        Message {
            process: self.living(),
            number: self.number,
            last_answer: self.last_answer,
        }
    }

    /// The owner receives a message; its answer reaches the sender unless that has ended or the answer is lost.
    fn receive(&mut self, message: Message, is_answer_lost: bool) -> MessageOrder {
        let incarnation = self.incarnations[usize::try_from(message.process).expect("a position")];
        let (known, answer) = (self.known.as_ref(), message.last_answer);
        let order = Contact::order(known, incarnation, message.number, answer, self.epoch);
        let now_ms = self.clock_ms - self.term_began_ms;
        if order == MessageOrder::Latest {
            let place = (message.process, message.number);
            assert!(
                self.applied.is_none_or(|applied| applied < place),
                "{place:?} after {:?}",
                self.applied
            );
            self.applied = Some(place);
            self.known = Some(Contact::after(known, incarnation, message.number, now_ms));
        }
        if message.process == self.living() && !is_answer_lost {
            self.last_answer = ReceivedAnswer {
                epoch: self.epoch,
                owner_clock_ms: now_ms,
            };
        }
        order
    }

    fn step(&mut self) {
        // Several events come within the resolution of the clock.
        self.clock_ms += u64::from(self.random.random_bool(0.1));
        match self.random.random_range(0..100) {
            0..40 => {
                let message = self.send();
                self.on_their_way.push(message);
            }
            40..85 if !self.on_their_way.is_empty() => {
                let position = self.random.random_range(0..self.on_their_way.len());
                let message = self.on_their_way.swap_remove(position);
                let is_answer_lost = self.random.random_bool(0.2);
                self.receive(message, is_answer_lost);
            }
            85..95 => {
                self.incarnations.push(self.random.random());
                self.number = 0;
                self.last_answer = ReceivedAnswer::default();
            }
            95..98 => {
                self.epoch += 1;
                self.term_began_ms = self.clock_ms;
                self.known = None;
                self.applied = None;
            }
            _ => {}
        }
    }
}

cases! {
    // Guards against a message of an ended process that is applied after one of its successor, in any order of events.
    no_message_is_applied_after_a_later_one => {
        for seed in 0..HISTORIES {
            let mut model = Model::new(seed);
            for _ in 0..EVENTS {
                model.step();
            }
        }
    }

    // Guards against a living process that is kept out, whatever the owner has received before.
    second_message_of_a_living_process_is_applied => {
        for seed in 0..HISTORIES {
            let mut model = Model::new(seed);
            for _ in 0..EVENTS {
                model.step();
            }
            let first = model.send();
            model.clock_ms += 1;
            model.receive(first, false);
            let second = model.send();
            assert_eq!(model.receive(second, false), MessageOrder::Latest, "seed {seed}");
        }
    }
}
