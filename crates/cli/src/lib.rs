//! The operator's command-line tool.
