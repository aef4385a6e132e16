//! Keys of the shared records, and the paths under which the state store keeps them.

/// The prefix of all paths, so that a single watch covers all records.
pub const PREFIX: &str = "g/";

/// The key of a shared record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The shared term, the base of all fencing tokens.
    Term,
    /// The cloud's machine types.
    MachineTypes,
    /// The provisioning state that all controllers share.
    Provisioning,
    /// A job, by its id.
    Job(String),
    /// A chunk of a job's tasks, by the job's id and the number of the chunk.
    Chunk(String, u32),
    /// Live tasks of a job per zone, by the job's id.
    ZoneSpread(String),
    /// A machine, by its name.
    Machine(String),
    /// The resource usage of a team, by the team's name.
    Team(String),
    /// A request for new instances, by its number.
    InstanceRequest(u64),
    /// The latest storage format that a controller reads, by the controller's name. Versions before
    /// format 2 ignore keys of this kind.
    Format(String),
    /// The marker from whose revision on cancellations are confirmed when all tasks have ended; see
    /// `jobs::cancellation`. Versions before format 3 ignore it.
    CancellationConfirmation,
    /// The run-time statistics of a job class, by a hash of team and class. Versions that don't
    /// know keys of this kind ignore them; no decision requires them.
    RunTimes(u64),
    /// The version of the configuration that is in force.
    Configuration,
    /// A page of a configuration version, by version and page number.
    ConfigurationPage(u64, u32),
    /// The marker that allows stored configurations. Versions before format 4 ignore it, like all
    /// keys of configurations.
    ConfigurationEnabled,
    /// The configuration version that a controller applies, by the controller's name.
    ObservedVersion(String),
}

/// Escapes a name for use as a part of a path: each byte other than an ASCII letter or digit, `-`,
/// `_` and `.` becomes `~` and two hexadecimal digits.
pub(crate) fn escape(name: &str) -> String {
    let mut escaped = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_' || byte == b'.' {
            escaped.push(byte as char);
        } else {
            escaped.push_str(&format!("~{byte:02x}"));
        }
    }
    escaped
}

/// Reverses [`escape`]; returns none if the text isn't a valid escaped name.
pub(crate) fn unescape(escaped: &str) -> Option<String> {
    let mut name = Vec::with_capacity(escaped.len());
    let mut bytes = escaped.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'~' {
            let high = (bytes.next()? as char).to_digit(16)?;
            let low = (bytes.next()? as char).to_digit(16)?;
            name.push((high * 16 + low) as u8);
        } else {
            name.push(byte);
        }
    }
    String::from_utf8(name).ok()
}

impl Key {
    /// Returns the path under which the state store keeps the record.
    pub fn path(&self) -> String {
        match self {
            Key::Term => "g/term".into(),
            Key::MachineTypes => "g/types".into(),
            Key::Provisioning => "g/fleet".into(),
            Key::Job(id) => format!("g/job/{id}"),
            Key::Chunk(id, n) => format!("g/chunk/{id}/{n:04}"),
            Key::ZoneSpread(id) => format!("g/place/{id}"),
            Key::Machine(id) => format!("g/machine/{}", escape(id)),
            Key::Team(name) => format!("g/team/{}", escape(name)),
            Key::InstanceRequest(n) => format!("g/hire/{n:08}"),
            Key::Format(controller) => format!("g/format/{}", escape(controller)),
            Key::CancellationConfirmation => "g/settled".into(),
            Key::RunTimes(class) => format!("g/runs/{class:016x}"),
            Key::Configuration => "g/configuration".into(),
            Key::ConfigurationPage(version, n) => format!("g/configuration/{version:010}/{n:03}"),
            Key::ConfigurationEnabled => "g/configurable".into(),
            Key::ObservedVersion(controller) => format!("g/following/{}", escape(controller)),
        }
    }

    /// Parses a path; returns none if this version doesn't know a key of its kind.
    pub fn parse(path: &str) -> Option<Key> {
        let mut parts = path.strip_prefix(PREFIX)?.split('/');
        let kind = parts.next()?;
        let key = match (kind, parts.next(), parts.next()) {
            ("term", None, None) => Key::Term,
            ("types", None, None) => Key::MachineTypes,
            ("fleet", None, None) => Key::Provisioning,
            ("job", Some(id), None) => Key::Job(id.into()),
            ("chunk", Some(id), Some(n)) => Key::Chunk(id.into(), n.parse().ok()?),
            ("place", Some(id), None) => Key::ZoneSpread(id.into()),
            ("machine", Some(id), None) => Key::Machine(unescape(id)?),
            ("team", Some(name), None) => Key::Team(unescape(name)?),
            ("hire", Some(n), None) => Key::InstanceRequest(n.parse().ok()?),
            ("format", Some(controller), None) => Key::Format(unescape(controller)?),
            ("settled", None, None) => Key::CancellationConfirmation,
            ("runs", Some(class), None) if class.len() == 16 => {
                Key::RunTimes(u64::from_str_radix(class, 16).ok()?)
            }
            ("configuration", None, None) => Key::Configuration,
            ("configuration", Some(version), Some(n)) => {
                Key::ConfigurationPage(version.parse().ok()?, n.parse().ok()?)
            }
            ("configurable", None, None) => Key::ConfigurationEnabled,
            ("following", Some(controller), None) => Key::ObservedVersion(unescape(controller)?),
            _ => return None,
        };
        Some(key)
    }
}
