#pragma once

#include "state/units.hpp"

#include <cstdint>
#include <optional>

/// Process start-up, signals, clocks and other services of the operating system.
namespace buckthorndale::transport::process {

/// Ignores SIGPIPE; writes to a closed socket report an error instead.
auto ignore_broken_pipes() -> void;

/// What a signal requests of the program.
enum class signal_kind : std::uint8_t { stop, reload };

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in those that it starts, so that the functions below
/// receive them. Must be called before the first thread is started.
auto block_handled_signals() -> void;

/// Blocks the calling thread until SIGTERM or SIGINT (stop) or SIGHUP (reload) arrives, or the timeout
/// expires.
auto wait_for_signal(state::duration timeout) -> std::optional<signal_kind>;

/// Blocks the calling thread until SIGTERM or SIGINT arrives.
auto wait_for_stop() -> void;

} // namespace buckthorndale::transport::process
