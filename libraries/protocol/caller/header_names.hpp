#pragma once

/// The HTTP interface to callers.
namespace buckthorndale::protocol::caller {

inline constexpr auto workspace_header = "X-Workspace";
inline constexpr auto profile_header = "X-Profile";
inline constexpr auto request_id_header = "X-Request-Id";
inline constexpr auto idempotency_key_header = "Idempotency-Key";
inline constexpr auto session_header = "X-Session";
inline constexpr auto session_token_header = "X-Session-Token";
/// "kept", "new" or "moved"; "moved" means that the pinned version is no longer allowed.
inline constexpr auto session_state_header = "X-Session-State";
inline constexpr auto deadline_header = "X-Deadline-Ms";
inline constexpr auto request_type_header = "X-Request-Type";
inline constexpr auto version_header = "X-Model-Version";
inline constexpr auto attempts_header = "X-Attempts";
/// "not-run" or "unknown"; sent with refusals.
inline constexpr auto run_state_header = "X-Run-State";

} // namespace buckthorndale::protocol::caller
