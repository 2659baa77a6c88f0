#pragma once

#include "protocol/json/object_reader.hpp"
#include "state/configuration.hpp"
#include "state/configuration_change.hpp"

#include <json/value.h>

/// JSON encoding of the system's own objects.
namespace buckthorndale::protocol::codec {

// Each reader throws error of the kind that its object_reader was constructed with.

auto to_json(const state::version_settings& version) -> Json::Value;
auto read_version(json::object_reader reader) -> state::version_settings;

auto to_json(const state::profile& profile) -> Json::Value;
auto read_profile(json::object_reader reader) -> state::profile;

auto to_json(const state::workspace& workspace) -> Json::Value;
auto read_workspace(json::object_reader reader) -> state::workspace;

auto to_json(const state::roll_out& roll_out) -> Json::Value;
auto read_roll_out(json::object_reader reader) -> state::roll_out;

auto to_json(const state::configuration_change& change) -> Json::Value;
auto read_change(json::object_reader reader) -> state::configuration_change;

auto to_json(const state::configuration& configuration) -> Json::Value;
auto read_configuration(json::object_reader reader) -> state::configuration;

} // namespace buckthorndale::protocol::codec
