#pragma once

#include "coordination/billing/written_ranges.hpp"
#include "protocol/rpc/messages.hpp"

#include <json/value.h>

namespace buckthorndale::protocol::rpc {

// to_json() produces the parameters or the result of a method; the read functions throw error of kind
// invalid_request.

auto to_json(const updates& item) -> Json::Value;
auto read_updates(const Json::Value& value) -> updates;

auto to_json(const hello_request& message) -> Json::Value;
auto read_hello_request(const Json::Value& value) -> hello_request;

auto to_json(const hello_response& message) -> Json::Value;
auto read_hello_response(const Json::Value& value) -> hello_response;

auto to_json(const gossip_request& message) -> Json::Value;
auto read_gossip_request(const Json::Value& value) -> gossip_request;

auto to_json(const gossip_response& message) -> Json::Value;
auto read_gossip_response(const Json::Value& value) -> gossip_response;

auto to_json(const coordination::roll_out::evidence_report& report) -> Json::Value;
auto read_evidence_report(const Json::Value& value) -> coordination::roll_out::evidence_report;

auto to_json(const add_evidence_request& message) -> Json::Value;
auto read_add_evidence_request(const Json::Value& value) -> add_evidence_request;

auto to_json(const hold_bill_request& message) -> Json::Value;
auto read_hold_bill_request(const Json::Value& value) -> hold_bill_request;

/// The result of hold_bill: whether the agent now holds the record. A malformed result is read as false.
auto held_to_json(bool is_held) -> Json::Value;
auto read_is_held(const Json::Value& value) -> bool;

auto to_json(const coordination::billing::written_ranges& message) -> Json::Value;
auto read_written_ranges(const Json::Value& value) -> coordination::billing::written_ranges;

auto to_json(const claim_request& message) -> Json::Value;
auto read_claim_request(const Json::Value& value) -> claim_request;

auto to_json(const claim_settled_request& message) -> Json::Value;
auto read_claim_settled_request(const Json::Value& value) -> claim_settled_request;

auto to_json(const claim_ended_request& message) -> Json::Value;
auto read_claim_ended_request(const Json::Value& value) -> claim_ended_request;

auto to_json(const claim_state_request& message) -> Json::Value;
auto read_claim_state_request(const Json::Value& value) -> claim_state_request;

auto to_json(const suspects_request& message) -> Json::Value;
auto read_suspects_request(const Json::Value& value) -> suspects_request;

} // namespace buckthorndale::protocol::rpc
