#pragma once

#include "agent/agent_state.hpp"
#include "agent/configuration_editor.hpp"
#include "agent/configuration_synchroniser.hpp"
#include "coordination/roll_out/roll_out_controller.hpp"
#include "transport/logging/logger.hpp"

namespace buckthorndale::services::agent {

/// Runs automatic roll-outs: commits the controller's proposals to the configuration.
class roll_out_service {
public:
    roll_out_service(agent_state& shared, configuration_synchroniser& synchroniser,
                     configuration_editor& editor)
        : shared_{shared}, synchroniser_{synchroniser}, editor_{editor},
          controller_{shared.settings_.instance_}
    {}

    /// Starts the loop that advances or halts roll-outs.
    auto start() -> void;

private:
    auto run() -> transport::http::awaitable<void>;
    auto propose(coordination::roll_out::roll_out_proposal proposal) -> transport::http::awaitable<void>;

    agent_state& shared_;
    configuration_synchroniser& synchroniser_;
    configuration_editor& editor_;
    coordination::roll_out::roll_out_controller controller_;
    transport::logging::logger log_{"roll-out"};
};

} // namespace buckthorndale::services::agent
