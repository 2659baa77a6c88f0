#pragma once

#include "state/identifiers.hpp"
#include "state/session_pin.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace buckthorndale::state {

enum class target_kind : std::uint8_t { model, service };

/// The properties of a caller's request on which routing decisions depend.
struct request_description {
    request_id id_;
    workspace_id workspace_;
    profile_name profile_;
    target_kind target_{target_kind::model};
    /// The plain service that is called; empty for a model.
    service_name service_;
    /// Set for a call that must run at most once.
    std::optional<std::string> idempotency_key_;
    /// Whether a new attempt is allowed after one that may have run.
    bool is_repeatable_{true};
    /// The conversation, if the caller specified one.
    session_id session_;
    std::optional<session_pin> pin_;
    /// A label such as "summary"; pass rates are learned for each label.
    std::string request_type_;
    /// The time limit from arrival; zero applies the profile's deadline.
    duration time_allowed_{0};
    content_fingerprint content_;
    /// Hash of the leading part of the prompt, for prefix affinity.
    content_fingerprint prefix_;
};

} // namespace buckthorndale::state
