#include "protocol/codec/claim_codec.hpp"

#include <array>
#include <string_view>

namespace buckthorndale::protocol::codec {

namespace {

using coordination::claims::call_outcome;
using coordination::claims::claim_verdict;
using coordination::claims::claim_verdict_kind;
using coordination::claims::claimant_reply;

constexpr auto max_status = std::int64_t{599};

constexpr auto verdict_kinds =
    std::array{claim_verdict_kind::granted, claim_verdict_kind::finished,    claim_verdict_kind::in_progress,
               claim_verdict_kind::unknown, claim_verdict_kind::unavailable, claim_verdict_kind::mismatch};

constexpr auto statement_names =
    std::array<std::string_view, 4>{"finished", "in-progress", "abandoned", "unknown"};

auto verdict_kind_from_text(const std::string& text) -> claim_verdict_kind
{
    for (const auto kind : verdict_kinds) {
        if (to_string(kind) == text)
            return kind;
    }
    return claim_verdict_kind::unknown;
}

auto statement_kind_from_text(const std::string& text) -> claimant_reply::kind
{
    for (auto index = std::size_t{0}; index < statement_names.size(); ++index) {
        if (statement_names.at(index) == text)
            return static_cast<claimant_reply::kind>(index);
    }
    return claimant_reply::kind::unknown;
}

} // namespace

auto to_json(const state::claim_record& record) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["workspace"] = record.key_.workspace_.text();
    value["key"] = record.key_.idempotency_key_;
    value["claimant"] = record.claimant_.text();
    value["incarnation"] = std::to_string(record.claimant_incarnation_.value());
    value["nonce"] = std::to_string(record.nonce_);
    value["address"] = record.claimant_address_.text();
    value["content"] = std::to_string(record.content_.value());
    return value;
}

auto read_claim_record(json::object_reader reader) -> state::claim_record
{
    auto record = state::claim_record{};
    record.key_.workspace_ = state::workspace_id{reader.text("workspace")};
    record.key_.idempotency_key_ = reader.text("key");
    record.claimant_ = state::instance_id{reader.text("claimant")};
    record.claimant_incarnation_ = state::incarnation{reader.number("incarnation")};
    record.nonce_ = reader.number("nonce");
    record.claimant_address_ = state::network_address_from_text(reader.text("address"));
    record.content_ = state::content_fingerprint{reader.number("content")};
    reader.finish();
    return record;
}

auto to_json(const call_outcome& outcome) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["status"] = outcome.status_;
    value["content_type"] = outcome.content_type_;
    value["body"] = outcome.body_;
    return value;
}

auto read_call_outcome(json::object_reader reader) -> call_outcome
{
    auto outcome = call_outcome{};
    outcome.status_ = static_cast<std::uint16_t>(reader.integer("status", 0, max_status));
    outcome.content_type_ = reader.text_or("content_type", "");
    outcome.body_ = reader.text_or("body", "");
    reader.finish();
    return outcome;
}

auto to_json(const claim_verdict& verdict) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["kind"] = to_string(verdict.kind_);
    value["workspace"] = verdict.key_.workspace_.text();
    value["key"] = verdict.key_.idempotency_key_;
    value["nonce"] = std::to_string(verdict.nonce_);
    value["outcome"] = to_json(verdict.outcome_);
    return value;
}

auto read_claim_verdict(json::object_reader reader) -> claim_verdict
{
    auto verdict = claim_verdict{};
    verdict.kind_ = verdict_kind_from_text(reader.text("kind"));
    verdict.key_.workspace_ = state::workspace_id{reader.text("workspace")};
    verdict.key_.idempotency_key_ = reader.text("key");
    verdict.nonce_ = reader.number("nonce");
    verdict.outcome_ = read_call_outcome(reader.child("outcome"));
    reader.finish();
    return verdict;
}

auto to_json(const claimant_reply& statement) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["kind"] = std::string{statement_names.at(static_cast<std::size_t>(statement.kind_))};
    value["outcome"] = to_json(statement.outcome_);
    return value;
}

auto read_claimant_statement(json::object_reader reader) -> claimant_reply
{
    auto statement = claimant_reply{};
    statement.kind_ = statement_kind_from_text(reader.text("kind"));
    statement.outcome_ = read_call_outcome(reader.child("outcome"));
    reader.finish();
    return statement;
}

} // namespace buckthorndale::protocol::codec
