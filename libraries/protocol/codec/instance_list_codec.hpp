#pragma once

#include "protocol/json/object_reader.hpp"
#include "protocol/json/unreadable_part.hpp"
#include "state/endpoint.hpp"
#include "state/instance_list.hpp"
#include "state/member.hpp"

#include <json/value.h>

#include <vector>

namespace buckthorndale::protocol::codec {

auto to_json(const state::endpoint& endpoint) -> Json::Value;
auto read_endpoint(json::object_reader reader) -> state::endpoint;

auto to_json(const state::member& member) -> Json::Value;
auto read_member(json::object_reader reader) -> state::member;

auto to_json(const state::instance_list& list) -> Json::Value;
auto read_instance_list(json::object_reader reader) -> state::instance_list;

/// Reads a list whose entries may come from any writer: one that cannot be read is left out. The unreadable
/// parts, for the log, are appended to `unreadable`.
auto read_instance_list(json::object_reader reader, std::vector<json::unreadable_part>& unreadable)
    -> state::instance_list;

} // namespace buckthorndale::protocol::codec
