#pragma once

#include "state/units.hpp"

#include <cstdint>
#include <optional>

/// What every program does at start and at its end.
namespace buckthorndale::transport::process {

/// Ignores broken pipes, which the socket layer reports by itself.
auto ignore_broken_pipes() -> void;

/// What a signal asks of a program.
enum class signal_kind : std::uint8_t { stop, reload };

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in those that it starts, so that the functions below
/// get them.
/// To be called before the first thread is started.
auto block_handled_signals() -> void;

/// Waits on the calling thread until SIGTERM, SIGINT (stop) or SIGHUP (reload) comes, for a time at most.
auto wait_for_signal(state::duration timeout) -> std::optional<signal_kind>;

/// Waits on the calling thread until SIGTERM or SIGINT comes.
auto wait_for_stop() -> void;

} // namespace buckthorndale::transport::process
