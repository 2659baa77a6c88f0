#include "protocol/rpc/message_codec.hpp"

#include "protocol/codec/bill_codec.hpp"
#include "protocol/codec/claim_codec.hpp"
#include "protocol/codec/configuration_codec.hpp"
#include "protocol/codec/instance_list_codec.hpp"
#include "protocol/json/object_reader.hpp"

#include <limits>

namespace buckthorndale::protocol::rpc {

namespace {

using coordination::billing::sequence_range;
using coordination::billing::written_ranges;
using coordination::roll_out::evidence_report;
using coordination::roll_out::version_counts;
using json::object_reader;

constexpr auto max_count = std::numeric_limits<std::int64_t>::max();

auto make_reader(const Json::Value& value) -> object_reader
{
    return object_reader{value, "", state::error_kind::invalid_request};
}

auto number_text(std::uint64_t number) -> Json::Value
{
    return Json::Value{std::to_string(number)};
}

auto to_json(const state_digest& digest) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["generation"] = Json::UInt64{digest.generation_.value()};
    value["chain"] = number_text(digest.chain_);
    value["list"] = Json::UInt64{digest.list_version_};
    return value;
}

auto read_state_digest(object_reader reader) -> state_digest
{
    auto digest = state_digest{};
    digest.generation_ = state::generation{reader.number("generation")};
    digest.chain_ = reader.number("chain");
    digest.list_version_ = reader.number("list");
    reader.finish();
    return digest;
}

auto to_json(const version_counts& item) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["version"] = item.version_.text();
    value["good"] = Json::Int64{item.counts_.good_};
    value["bad"] = Json::Int64{item.counts_.bad_};
    return value;
}

auto read_version_counts(object_reader reader) -> version_counts
{
    auto item = version_counts{};
    item.version_ = state::version_key_from_text(reader.text("version"));
    item.counts_.good_ = reader.integer("good", 0, max_count);
    item.counts_.bad_ = reader.integer("bad", 0, max_count);
    reader.finish();
    return item;
}

auto counts_to_json(const std::vector<version_counts>& counts) -> Json::Value
{
    auto array = Json::Value{Json::arrayValue};
    for (const auto& item : counts)
        array.append(to_json(item));
    return array;
}

auto read_counts(object_reader& reader) -> std::vector<version_counts>
{
    auto counts = std::vector<version_counts>{};
    for (auto& child : reader.children("counts"))
        counts.push_back(read_version_counts(child));
    return counts;
}

auto write_key(Json::Value& value, const state::claim_key& key) -> void
{
    value["workspace"] = key.workspace_.text();
    value["key"] = key.idempotency_key_;
}

auto read_key(object_reader& reader) -> state::claim_key
{
    return {.workspace_ = state::workspace_id{reader.text("workspace")},
            .idempotency_key_ = reader.text("key")};
}

auto end_text(claim_end end) -> std::string
{
    switch (end) {
    case claim_end::finished:
        return "finished";
    case claim_end::abandoned:
        return "abandoned";
    case claim_end::lost:
        return "lost";
    }
    return "lost";
}

auto end_from_text(const std::string& text) -> claim_end
{
    if (text == "finished")
        return claim_end::finished;
    // An unrecognised value must not be interpreted as a call that did not run.
    return text == "abandoned" ? claim_end::abandoned : claim_end::lost;
}

} // namespace

auto to_json(const updates& item) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    if (item.snapshot_)
        value["snapshot"] = codec::to_json(*item.snapshot_);
    for (const auto& change : item.changes_)
        value["changes"].append(codec::to_json(change));
    if (item.list_)
        value["list"] = codec::to_json(*item.list_);
    return value;
}

auto read_updates(const Json::Value& value) -> updates
{
    auto reader = make_reader(value);
    auto item = updates{};
    if (reader.has("snapshot"))
        item.snapshot_ = codec::read_configuration(reader.child("snapshot"));
    for (auto& child : reader.children("changes"))
        item.changes_.push_back(codec::read_change(child));
    if (reader.has("list"))
        item.list_ = codec::read_instance_list(reader.child("list"));
    reader.finish();
    return item;
}

auto to_json(const hello_request& message) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["router_life"] = number_text(message.router_incarnation_.value());
    value["router"] = message.router_.text();
    value["known"] = to_json(message.digest_);
    value["evidence"] = to_json(message.evidence_);
    return value;
}

auto read_hello_request(const Json::Value& value) -> hello_request
{
    auto reader = make_reader(value);
    auto message = hello_request{};
    message.router_incarnation_ = state::incarnation{reader.number("router_life")};
    message.router_ = state::network_address_from_text(reader.text("router"));
    message.digest_ = read_state_digest(reader.child("known"));
    message.evidence_ = read_evidence_report(reader.raw("evidence"));
    reader.finish();
    return message;
}

auto to_json(const hello_response& message) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["agent"] = message.agent_.text();
    value["agent_life"] = number_text(message.agent_incarnation_.value());
    value["confirmed"] = message.is_confirmed_;
    value["news"] = to_json(message.updates_);
    value["evidence"] = to_json(message.evidence_);
    return value;
}

auto read_hello_response(const Json::Value& value) -> hello_response
{
    auto reader = make_reader(value);
    auto message = hello_response{};
    message.agent_ = state::instance_id{reader.text("agent")};
    message.agent_incarnation_ = state::incarnation{reader.number("agent_life")};
    message.is_confirmed_ = reader.boolean_or("confirmed", false);
    message.updates_ = read_updates(reader.raw("news"));
    message.evidence_ = read_evidence_report(reader.raw("evidence"));
    reader.finish();
    return message;
}

auto to_json(const gossip_request& message) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["from"] = message.from_.text();
    value["life"] = number_text(message.incarnation_.value());
    value["known"] = to_json(message.digest_);
    return value;
}

auto read_gossip_request(const Json::Value& value) -> gossip_request
{
    auto reader = make_reader(value);
    auto message = gossip_request{};
    message.from_ = state::instance_id{reader.text("from")};
    message.incarnation_ = state::incarnation{reader.number("life")};
    message.digest_ = read_state_digest(reader.child("known"));
    reader.finish();
    return message;
}

auto to_json(const gossip_response& message) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["known"] = to_json(message.digest_);
    value["confirmed"] = message.is_confirmed_;
    value["news"] = to_json(message.updates_);
    return value;
}

auto read_gossip_response(const Json::Value& value) -> gossip_response
{
    auto reader = make_reader(value);
    auto message = gossip_response{};
    message.digest_ = read_state_digest(reader.child("known"));
    message.is_confirmed_ = reader.boolean_or("confirmed", false);
    message.updates_ = read_updates(reader.raw("news"));
    reader.finish();
    return message;
}

auto to_json(const evidence_report& report) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["source"] = report.source_.text();
    value["life"] = number_text(report.life_.value());
    value["counts"] = counts_to_json(report.counts_);
    return value;
}

auto read_evidence_report(const Json::Value& value) -> evidence_report
{
    auto reader = make_reader(value);
    auto report = evidence_report{};
    report.source_ = state::instance_id{reader.text("source")};
    report.life_ = state::incarnation{reader.number("life")};
    report.counts_ = read_counts(reader);
    reader.finish();
    return report;
}

auto to_json(const add_evidence_request& message) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["counts"] = counts_to_json(message.increments_);
    return value;
}

auto read_add_evidence_request(const Json::Value& value) -> add_evidence_request
{
    auto reader = make_reader(value);
    auto message = add_evidence_request{};
    message.increments_ = read_counts(reader);
    reader.finish();
    return message;
}

auto to_json(const hold_bill_request& message) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["record"] = codec::to_json(message.record_);
    value["primary"] = message.is_primary_;
    return value;
}

auto read_hold_bill_request(const Json::Value& value) -> hold_bill_request
{
    auto reader = make_reader(value);
    auto message = hold_bill_request{};
    message.record_ = codec::read_bill_record(reader.child("record"));
    message.is_primary_ = reader.boolean_or("primary", false);
    reader.finish();
    return message;
}

auto held_to_json(bool is_held) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["held"] = is_held;
    return value;
}

auto read_is_held(const Json::Value& value) -> bool
{
    return value.isObject() && value["held"].isBool() && value["held"].asBool();
}

auto to_json(const written_ranges& message) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["ranges"] = Json::Value{Json::arrayValue};
    for (const auto& range : message.ranges_) {
        auto item = Json::Value{Json::objectValue};
        item["origin"] = range.origin_.text();
        item["incarnation"] = number_text(range.incarnation_.value());
        item["first"] = Json::UInt64{range.first_};
        item["last"] = Json::UInt64{range.last_};
        value["ranges"].append(item);
    }
    return value;
}

auto read_written_ranges(const Json::Value& value) -> written_ranges
{
    auto reader = make_reader(value);
    auto message = written_ranges{};
    for (auto& child : reader.children("ranges")) {
        auto range = sequence_range{};
        range.origin_ = state::instance_id{child.text("origin")};
        range.incarnation_ = state::incarnation{child.number("incarnation")};
        range.first_ = child.number("first");
        range.last_ = child.number("last");
        child.finish();
        message.ranges_.push_back(range);
    }
    reader.finish();
    return message;
}

auto to_json(const claim_request& message) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["router_life"] = number_text(message.router_incarnation_.value());
    value["ticket"] = number_text(message.ticket_);
    write_key(value, message.key_);
    value["content"] = number_text(message.content_.value());
    return value;
}

auto read_claim_request(const Json::Value& value) -> claim_request
{
    auto reader = make_reader(value);
    auto message = claim_request{};
    message.router_incarnation_ = state::incarnation{reader.number("router_life")};
    message.ticket_ = reader.number("ticket");
    message.key_ = read_key(reader);
    message.content_ = state::content_fingerprint{reader.number("content")};
    reader.finish();
    return message;
}

auto to_json(const claim_settled_request& message) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["router_life"] = number_text(message.router_incarnation_.value());
    value["ticket"] = number_text(message.ticket_);
    value["verdict"] = codec::to_json(message.verdict_);
    return value;
}

auto read_claim_settled_request(const Json::Value& value) -> claim_settled_request
{
    auto reader = make_reader(value);
    auto message = claim_settled_request{};
    message.router_incarnation_ = state::incarnation{reader.number("router_life")};
    message.ticket_ = reader.number("ticket");
    message.verdict_ = codec::read_claim_verdict(reader.child("verdict"));
    reader.finish();
    return message;
}

auto to_json(const claim_ended_request& message) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    write_key(value, message.key_);
    value["nonce"] = number_text(message.nonce_);
    value["end"] = end_text(message.end_);
    value["outcome"] = codec::to_json(message.outcome_);
    return value;
}

auto read_claim_ended_request(const Json::Value& value) -> claim_ended_request
{
    auto reader = make_reader(value);
    auto message = claim_ended_request{};
    message.key_ = read_key(reader);
    message.nonce_ = reader.number("nonce");
    message.end_ = end_from_text(reader.text("end"));
    message.outcome_ = codec::read_call_outcome(reader.child("outcome"));
    reader.finish();
    return message;
}

auto to_json(const claim_state_request& message) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    write_key(value, message.key_);
    value["life"] = number_text(message.incarnation_.value());
    value["nonce"] = number_text(message.nonce_);
    return value;
}

auto read_claim_state_request(const Json::Value& value) -> claim_state_request
{
    auto reader = make_reader(value);
    auto message = claim_state_request{};
    message.key_ = read_key(reader);
    message.incarnation_ = state::incarnation{reader.number("life")};
    message.nonce_ = reader.number("nonce");
    reader.finish();
    return message;
}

auto to_json(const suspects_request& message) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["endpoint"] = message.endpoint_.text();
    value["cleared"] = message.is_cleared_;
    value["contents"] = Json::Value{Json::arrayValue};
    for (const auto content : message.contents_)
        value["contents"].append(std::to_string(content.value()));
    return value;
}

auto read_suspects_request(const Json::Value& value) -> suspects_request
{
    auto reader = make_reader(value);
    auto message = suspects_request{};
    message.endpoint_ = state::endpoint_id{reader.text_or("endpoint", "")};
    message.is_cleared_ = reader.boolean_or("cleared", false);
    for (const auto number : reader.numbers("contents"))
        message.contents_.emplace_back(number);
    reader.finish();
    return message;
}

} // namespace buckthorndale::protocol::rpc
