#pragma once

#include "state/strong_id.hpp"
#include "state/strong_number.hpp"

#include <cstdint>

namespace buckthorndale::state {

using workspace_id = strong_id<struct workspace_id_tag>;
using profile_name = strong_id<struct profile_name_tag>;
using model_name = strong_id<struct model_name_tag>;
using version_name = strong_id<struct version_name_tag>;
using service_name = strong_id<struct service_name_tag>;
using endpoint_id = strong_id<struct endpoint_id_tag>;
using instance_id = strong_id<struct instance_id_tag>;
using data_centre_id = strong_id<struct data_centre_id_tag>;

/// The caller's identifier of a request; a resend carries the same one.
using request_id = strong_id<struct request_id_tag>;
/// The caller's identifier of a conversation.
using session_id = strong_id<struct session_id_tag>;
/// The operator's identifier of a configuration change; a resend carries the same one.
using change_id = strong_id<struct change_id_tag>;

/// Identifies one run of a process: a random number drawn when it starts.
using incarnation = strong_number<struct incarnation_tag, std::uint64_t>;
/// The number of the last configuration change that is applied; 0 means no configuration.
using generation = strong_number<struct generation_tag, std::uint64_t>;
/// Identifies a request within one router process.
using request_handle = strong_number<struct request_handle_tag, std::uint64_t>;
/// Identifies an attempt of a request within one router process.
using attempt_handle = strong_number<struct attempt_handle_tag, std::uint64_t>;
/// A stable hash of a request's content, the same on every instance.
using content_fingerprint = strong_number<struct content_fingerprint_tag, std::uint64_t>;
/// A stable hash of the ID of a part of a prompt, the same on every instance.
using prompt_part_key = strong_number<struct prompt_part_key_tag, std::uint64_t>;

} // namespace buckthorndale::state
