#pragma once

#include "coordination/billing/bill_segment.hpp"
#include "coordination/billing/record_id.hpp"
#include "protocol/json/object_reader.hpp"
#include "state/bill_record.hpp"

#include <json/value.h>

namespace buckthorndale::protocol::codec {

auto to_json(const state::bill_record& record) -> Json::Value;
auto read_bill_record(json::object_reader reader) -> state::bill_record;

auto to_json(const coordination::billing::bill_segment& segment) -> Json::Value;
auto read_bill_segment(json::object_reader reader) -> coordination::billing::bill_segment;

auto to_json(const coordination::billing::record_id& id) -> Json::Value;
auto read_record_id(json::object_reader reader) -> coordination::billing::record_id;

} // namespace buckthorndale::protocol::codec
