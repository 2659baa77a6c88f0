#pragma once

#include "coordination/claims/claim_port.hpp"
#include "coordination/claims/claim_verdict.hpp"
#include "protocol/json/object_reader.hpp"
#include "state/claim_record.hpp"

#include <json/value.h>

namespace buckthorndale::protocol::codec {

auto to_json(const state::claim_record& record) -> Json::Value;
auto read_claim_record(json::object_reader reader) -> state::claim_record;

auto to_json(const coordination::claims::call_outcome& outcome) -> Json::Value;
auto read_call_outcome(json::object_reader reader) -> coordination::claims::call_outcome;

auto to_json(const coordination::claims::claim_verdict& verdict) -> Json::Value;
auto read_claim_verdict(json::object_reader reader) -> coordination::claims::claim_verdict;

auto to_json(const coordination::claims::claimant_reply& statement) -> Json::Value;
auto read_claimant_statement(json::object_reader reader) -> coordination::claims::claimant_reply;

} // namespace buckthorndale::protocol::codec
