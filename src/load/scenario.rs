//! Scenarios: fleet, plans, phases of the load and faults, read from INI.

use std::{fs, path::Path, time::Duration};

use smol_str::SmolStr;

use crate::settings::{Document, Fault, FaultKind, Field, Location, Section, Slot};

use super::fault::Disturbance;

/// A load scenario; all times are in the targets' life.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name, from the file.
    pub name: String,
    /// Section `run`.
    pub run: Course,
    /// Section `fleet`.
    pub fleet: Fleet,
    /// Sections `plan <name>`.
    pub plans: Vec<(SmolStr, Plan)>,
    /// Sections `phase <name>`.
    pub phases: Vec<(SmolStr, Phase)>,
    /// Sections `fault <name>`.
    pub faults: Vec<(SmolStr, Disturbance)>,
}

/// Section `run`: how long and how fast.
#[derive(Debug, Clone)]
pub struct Course {
    /// Time of arrivals.
    pub duration: Duration,
    /// Time at the start whose arrivals are not counted.
    pub warmup: Duration,
    /// Seconds of the targets' life in one second.
    pub time_scale: f64,
}

/// Section `fleet`: targets and hosts.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// Data centres.
    pub data_centres: Vec<SmolStr>,
    /// Engines over all data centres.
    pub engines: u32,
    /// Replicas of the plain service.
    pub services: u32,
    /// Entry hosts.
    pub hosts: u32,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Prompt tokens that an engine reads a second.
    pub prefill_rate: f64,
    /// Time of a decode step with an empty batch.
    pub step_base: Duration,
    /// Time that each request adds to a decode step.
    pub step_per_request: Duration,
    /// Tokens of KV cache in an engine.
    pub kv_capacity: usize,
    /// Time of a role change.
    pub change_time: Duration,
    /// Age of load reports.
    pub report_lag: Duration,
    /// Engines that begin as prefill, before those that begin as decode; the rest is mixed.
    pub prefill: u32,
    /// Engines that begin as decode.
    pub decode: u32,
}

/// Section `plan <name>`: one plan's customers and their requests.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Share of engine time relative to the other plans'.
    pub weight: f64,
    /// Requests a second.
    pub rate: f64,
    /// Mean tokens of a prompt.
    pub prompt: f64,
    /// Mean tokens of an answer.
    pub output: f64,
    /// Tokens at the start of each prompt that are shared.
    pub shared: f64,
    /// Different shared starts.
    pub prefixes: u32,
    /// Time within which the first token is due.
    pub first_token: Duration,
    /// Mean time between tokens that is still in time.
    pub between_tokens: Duration,
    /// Calls of the plain service a second that may not be repeated.
    pub orders: f64,
}

/// Section `phase <name>`: a time in which the load differs; overlapping phases multiply.
#[derive(Debug, Clone)]
pub struct Phase {
    /// Beginning.
    pub from: Duration,
    /// Length.
    pub length: Duration,
    /// Time after which it comes again.
    pub every: Duration,
    /// Plan concerned; `all` for all.
    pub plan: SmolStr,
    /// Factor on the rate of requests.
    pub rate: f64,
    /// Factor on the tokens of prompts.
    pub prompt: f64,
    /// Factor on the tokens of answers.
    pub output: f64,
}

/// A time longer than any run.
const NEVER: Duration = Duration::from_secs(30 * 24 * 3_600);

impl Default for Course {
    fn default() -> Course {
        Course {
            duration: Duration::from_secs(120),
            warmup: Duration::from_secs(20),
            time_scale: 4.0,
        }
    }
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            data_centres: ["brno-a", "olomouc-b", "zlin-c"].map(SmolStr::new_static).to_vec(),
            engines: 9,
            services: 3,
            hosts: 9,
            slots: 32,
            prefill_rate: 16_000.0,
            step_base: Duration::from_millis(20),
            step_per_request: Duration::from_millis(1),
            kv_capacity: 200_000,
            change_time: Duration::from_secs(4),
            report_lag: Duration::from_millis(400),
            prefill: 3,
            decode: 3,
        }
    }
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            weight: 1.0,
            rate: 1.0,
            prompt: 1_000.0,
            output: 100.0,
            shared: 0.0,
            prefixes: 1,
            first_token: Duration::from_secs(1),
            between_tokens: Duration::from_millis(60),
            orders: 0.0,
        }
    }
}

impl Default for Phase {
    fn default() -> Phase {
        Phase {
            from: Duration::ZERO,
            length: NEVER,
            every: NEVER,
            plan: SmolStr::new_static("all"),
            rate: 1.0,
            prompt: 1.0,
            output: 1.0,
        }
    }
}

impl Section for Course {
    const NAME: &'static str = "run";
    const FIELDS: &'static [Field<Course>] = &[
        Field::required("duration", "Time of arrivals.", |it| Slot::Time(&mut it.duration)),
        Field::optional("warmup", "Time at the start that is not counted.", |it| {
            Slot::Time(&mut it.warmup)
        }),
        Field::optional("time_scale", "Seconds of the targets' life in one second.", |it| {
            Slot::Number(&mut it.time_scale)
        }),
    ];

    fn check(&self, location: &Location, faults: &mut Vec<Fault>) {
        if self.duration <= self.warmup {
            faults.push(location.key("duration").fault(FaultKind::NotLongerThan("warmup")));
        }
    }
}

impl Section for Fleet {
    const NAME: &'static str = "fleet";
    const FIELDS: &'static [Field<Fleet>] = &[
        Field::optional("data_centres", "Data centres.", |it| Slot::Names(&mut it.data_centres)),
        Field::optional("engines", "Engines.", |it| Slot::Count32(&mut it.engines)),
        Field::optional("services", "Replicas of the service.", |it| {
            Slot::Count32(&mut it.services)
        }),
        Field::optional("hosts", "Entry hosts.", |it| Slot::Count32(&mut it.hosts)),
        Field::optional("slots", "Requests that an engine runs at once.", |it| {
            Slot::Count32(&mut it.slots)
        }),
        Field::optional("prefill_rate", "Prompt tokens that an engine reads a second.", |it| {
            Slot::Number(&mut it.prefill_rate)
        }),
        Field::optional("step_base", "Time of a decode step with an empty batch.", |it| {
            Slot::Time(&mut it.step_base)
        }),
        Field::optional("step_per_request", "Time that a request adds to a step.", |it| {
            Slot::Time(&mut it.step_per_request)
        }),
        Field::optional("kv_capacity", "Tokens of KV cache in an engine.", |it| {
            Slot::Count(&mut it.kv_capacity)
        }),
        Field::optional("change_time", "Time of a role change.", |it| {
            Slot::Time(&mut it.change_time)
        }),
        Field::optional("report_lag", "Age of load reports.", |it| Slot::Time(&mut it.report_lag)),
        Field::optional("prefill", "Engines that begin as prefill.", |it| {
            Slot::Count32(&mut it.prefill)
        }),
        Field::optional("decode", "Engines that begin as decode.", |it| {
            Slot::Count32(&mut it.decode)
        }),
    ];
}

impl Section for Plan {
    const NAME: &'static str = "plan";
    const FIELDS: &'static [Field<Plan>] = &[
        Field::optional("weight", "Share relative to the other plans'.", |it| {
            Slot::Number(&mut it.weight)
        }),
        Field::required("rate", "Requests a second.", |it| Slot::Number(&mut it.rate)),
        Field::required("prompt", "Mean tokens of a prompt.", |it| Slot::Number(&mut it.prompt)),
        Field::required("output", "Mean tokens of an answer.", |it| Slot::Number(&mut it.output)),
        Field::optional("shared", "Tokens at the start of a prompt that are shared.", |it| {
            Slot::Number(&mut it.shared)
        }),
        Field::optional("prefixes", "Different shared starts.", |it| {
            Slot::Count32(&mut it.prefixes)
        }),
        Field::optional("first_token", "Time within which the first token is due.", |it| {
            Slot::Time(&mut it.first_token)
        }),
        Field::optional("between_tokens", "Mean time between tokens in time.", |it| {
            Slot::Time(&mut it.between_tokens)
        }),
        Field::optional("orders", "Calls a second that may not be repeated.", |it| {
            Slot::Number(&mut it.orders)
        }),
    ];
}

impl Section for Phase {
    const NAME: &'static str = "phase";
    const FIELDS: &'static [Field<Phase>] = &[
        Field::optional("from", "Beginning.", |it| Slot::Time(&mut it.from)),
        Field::optional("length", "Length.", |it| Slot::Time(&mut it.length)),
        Field::optional("every", "Time after which it comes again.", |it| {
            Slot::Time(&mut it.every)
        }),
        Field::optional("plan", "Plan concerned; `all` for all.", |it| Slot::Name(&mut it.plan)),
        Field::optional("rate", "Factor on the rate of requests.", |it| Slot::Number(&mut it.rate)),
        Field::optional("prompt", "Factor on the tokens of prompts.", |it| {
            Slot::Number(&mut it.prompt)
        }),
        Field::optional("output", "Factor on the tokens of answers.", |it| {
            Slot::Number(&mut it.output)
        }),
    ];
}

impl Phase {
    /// Returns whether the phase holds for a plan at a time since the start.
    pub fn holds(&self, plan: &str, at: Duration) -> bool {
        let concerned = self.plan == "all" || self.plan == plan;
        let Some(since) = at.checked_sub(self.from) else { return false };
        let every = self.every.as_nanos().max(1);
        concerned && since.as_nanos() % every < self.length.as_nanos()
    }
}

impl Plan {
    /// Returns the plan's load at a time since the start, with all phases that hold.
    pub fn at(&self, name: &str, phases: &[(SmolStr, Phase)], at: Duration) -> Plan {
        let mut plan = self.clone();
        for (_, phase) in phases.iter().filter(|(_, it)| it.holds(name, at)) {
            plan.rate *= phase.rate;
            plan.prompt *= phase.prompt;
            plan.output *= phase.output;
        }
        plan
    }
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    /// Returns all faults, each with its place.
    pub fn read(path: &Path) -> Result<Scenario, Vec<Fault>> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|err| {
            vec![Location::file(&file).fault(FaultKind::Unreadable(err.to_string()))]
        })?;
        let name = path.file_stem().map(|it| it.to_string_lossy().into_owned());
        Scenario::parse(&file, &name.unwrap_or_default(), &text)
    }

    /// Checks the text of a scenario; `file` names it in the faults.
    ///
    /// # Errors
    /// Returns all faults, each with its place.
    pub fn parse(file: &str, name: &str, text: &str) -> Result<Scenario, Vec<Fault>> {
        let mut document = Document::parse(file, text);
        for section in document.section_names() {
            let kind = section.split(' ').next().unwrap_or_default().to_owned();
            if !SECTIONS.contains(&kind.as_str()) {
                document.add_unknown_section(&section, SECTIONS);
            }
        }
        let scenario = Scenario {
            name: name.to_owned(),
            run: document.read_section(Course::NAME),
            fleet: document.read_section(Fleet::NAME),
            plans: named(&mut document),
            phases: named(&mut document),
            faults: named(&mut document),
        };
        document.finish(scenario)
    }

    /// Returns how long a stretch of the targets' life takes.
    pub fn scaled(&self, time: Duration) -> Duration {
        time.div_f64(self.run.time_scale)
    }
}

const SECTIONS: [&str; 5] = [Course::NAME, Fleet::NAME, Plan::NAME, Phase::NAME, Disturbance::NAME];

fn named<S: Section>(document: &mut Document) -> Vec<(SmolStr, S)> {
    let mut found = Vec::new();
    for section in document.section_names() {
        if let Some(name) = document.section_name::<S>(&section) {
            found.push((name, document.read_section(&section)));
        }
    }
    found
}
