#pragma once

#include "agent/agent_state.hpp"
#include "agent/configuration_synchroniser.hpp"
#include "state/configuration_change.hpp"
#include "transport/logging/logger.hpp"

#include <optional>

namespace buckthorndale::services::agent {

/// An operator's wish to change the configuration.
struct edit_request {
    state::change_id id_;
    std::string author_;
    /// The generation that the operator looked at. A change of the same subject since then is a conflict.
    std::optional<state::generation> based_on_;
    state::change_content content_;
};

/// Makes changes accepted: an entry in the platform's log of changes, created conditionally.
class configuration_editor {
public:
    configuration_editor(agent_state& shared, configuration_synchroniser& synchroniser)
        : shared_{shared}, synchroniser_{synchroniser}
    {}

    /// Gives the generation at which the change was accepted. A resend under the same id gives the same.
    /// Throws error: invalid_request, not_found or conflict when the change is not accepted;
    /// platform_unavailable when it was certainly not accepted; outcome_unknown when it may have been.
    auto edit(edit_request request) -> transport::http::awaitable<state::generation>;

private:
    enum class try_result : std::uint8_t { accepted, lost_race, unknown };

    auto find_accepted(const state::change_id& id) const -> std::optional<state::generation>;
    auto try_append(const state::configuration_change& change) -> transport::http::awaitable<try_result>;
    auto try_append_once(const state::configuration_change& change, const std::string& text)
        -> transport::http::awaitable<std::optional<try_result>>;

    agent_state& shared_;
    configuration_synchroniser& synchroniser_;
    transport::logging::logger log_{"editor"};
};

} // namespace buckthorndale::services::agent
