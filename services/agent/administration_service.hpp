#pragma once

#include "agent/administration_call.hpp"
#include "agent/agent_state.hpp"
#include "agent/configuration_editor.hpp"
#include "agent/configuration_synchroniser.hpp"
#include "agent/ledger_writer.hpp"

#include <json/value.h>

#include <string>
#include <vector>

namespace buckthorndale::services::agent {

/// Handles the calls of the administration API. Runs on the control worker.
class administration_service {
public:
    administration_service(agent_state& shared, configuration_synchroniser& synchroniser,
                           configuration_editor& editor, ledger_writer& ledger)
        : shared_{shared}, synchroniser_{synchroniser}, editor_{editor}, ledger_{ledger}
    {}

    /// Reports errors as problem details instead of throwing them.
    auto answer(administration_call call) -> transport::http::awaitable<administration_reply>;

private:
    using segments = std::vector<std::string>;

    auto route_call(const administration_call& call) -> transport::http::awaitable<Json::Value>;
    auto read(const administration_call& call, const segments& path)
        -> transport::http::awaitable<Json::Value>;
    auto list(const std::string& kind) const -> Json::Value;
    auto find(const std::string& kind, const std::string& name) const -> Json::Value;
    auto read_ledger(const std::string& query) -> transport::http::awaitable<Json::Value>;
    auto status() -> Json::Value;
    auto changes() const -> Json::Value;
    auto evidence() const -> Json::Value;
    auto change(const administration_call& call, state::change_content content)
        -> transport::http::awaitable<Json::Value>;
    auto act_on_version(const std::string& name, const std::string& action) const -> state::change_content;
    auto act_on_roll_out(const std::string& model, const std::string& action, const std::string& query) const
        -> state::change_content;

    agent_state& shared_;
    configuration_synchroniser& synchroniser_;
    configuration_editor& editor_;
    ledger_writer& ledger_;
};

} // namespace buckthorndale::services::agent
