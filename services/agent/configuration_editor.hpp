#pragma once

#include "agent/agent_state.hpp"
#include "agent/configuration_synchroniser.hpp"
#include "state/configuration_change.hpp"
#include "transport/logging/logger.hpp"

#include <optional>

namespace buckthorndale::services::agent {

/// A change of the configuration that an operator or a roll-out requests.
struct edit_request {
    state::change_id id_;
    std::string author_;
    /// The generation on which the change is based. A later change of the same subject is a conflict.
    std::optional<state::generation> based_on_;
    state::change_content content_;
};

/// Commits changes of the configuration. A change is accepted when its entry in the platform's change log has
/// been created by a conditional write.
class configuration_editor {
public:
    configuration_editor(agent_state& shared, configuration_synchroniser& synchroniser)
        : shared_{shared}, synchroniser_{synchroniser}
    {}

    /// Returns the generation at which the change was accepted; repeating the request with the same id
    /// returns the same generation. Throws state::error: invalid_request, not_found or conflict when the
    /// change is rejected, platform_unavailable when it was certainly not accepted, outcome_unknown when it
    /// may have been.
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
