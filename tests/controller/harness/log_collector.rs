//! Collects the warnings and errors that a test's thread logs.

use std::cell::RefCell;

thread_local! {
    static LOGGED: RefCell<Vec<(log::Level, String)>> = const { RefCell::new(Vec::new()) };
}

/// Collects warnings and errors separately for the thread of each test.
struct LogCollector;

impl log::Log for LogCollector {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::Level::Warn
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            let line = (record.level(), record.args().to_string());
            LOGGED.with(|logged| logged.borrow_mut().push(line));
        }
    }

    fn flush(&self) {}
}

/// Makes all threads of this process log to the collector.
pub(super) fn install_log_collector() {
    // Fails if another test in this process has already set the logger.
    if log::set_logger(&LogCollector).is_ok() {
        log::set_max_level(log::LevelFilter::Warn);
    }
}

/// Returns and clears the warnings and errors that this test's thread has logged.
pub fn take_warnings() -> Vec<String> {
    LOGGED.with(|logged| logged.take().into_iter().map(|(_, text)| text).collect())
}
