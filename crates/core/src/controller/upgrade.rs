//! What a controller still has to put on record after an upgrade.

/// What a controller still has to put on record after an upgrade, and whether it is on its way.
#[derive(Debug, Default)]
pub(crate) struct Upgrade {
    pub format_busy: bool,
    pub settle_busy: bool,
    pub configurable_busy: bool,
    /// The first term is being written.
    pub term_in_flight: bool,
    /// The common format, and the controllers that lack the latest, as last logged.
    pub format_logged: Option<(u32, usize)>,
}
