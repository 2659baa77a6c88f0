#include "protocol/caller/problem.hpp"

#include "protocol/json/text.hpp"

#include <json/value.h>

namespace buckthorndale::protocol::caller {

namespace {

auto problem(state::error_kind kind, const std::string& detail, coordination::routing::run_state run)
    -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["type"] = "urn:buckthorndale:problem:" + std::string{state::to_string(kind)};
    value["title"] = std::string{state::to_string(kind)};
    value["status"] = status_of(kind);
    value["detail"] = detail;
    value["run"] = to_text(run);
    return value;
}

} // namespace

auto status_of(state::error_kind kind) -> unsigned
{
    using state::error_kind;
    switch (kind) {
    case error_kind::invalid_settings:
    case error_kind::invalid_request:
        return 400;
    case error_kind::unauthenticated:
        return 401;
    case error_kind::forbidden:
    case error_kind::no_allowed_version:
        return 403;
    case error_kind::not_found:
        return 404;
    case error_kind::conflict:
    case error_kind::already_in_progress:
        return 409;
    case error_kind::too_large:
        return 413;
    case error_kind::unknown_model:
        return 421;
    case error_kind::suspected_request:
        return 422;
    case error_kind::endpoint_failed:
    case error_kind::outcome_unknown:
        return 502;
    case error_kind::no_capacity:
    case error_kind::no_configuration:
    case error_kind::shutting_down:
    case error_kind::platform_unavailable:
        return 503;
    case error_kind::deadline_exceeded:
        return 504;
    }
    return 500;
}

auto problem_text(const coordination::routing::refusal& why, const state::request_id& request) -> std::string
{
    auto value = problem(why.kind_, why.detail_, why.run_);
    value["request_id"] = request.text();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(why.retry_after_).count();
    if (milliseconds > 0)
        value["retry_after_ms"] = Json::Int64{milliseconds};
    return json::to_text(value);
}

auto problem_text(const state::error& fault) -> std::string
{
    return json::to_text(problem(fault.kind(), fault.what(), coordination::routing::run_state::not_run));
}

auto problem_text(unsigned status, const std::string& title, const std::string& detail,
                  coordination::routing::run_state run) -> std::string
{
    auto value = Json::Value{Json::objectValue};
    value["type"] = "about:blank";
    value["title"] = title;
    value["status"] = status;
    value["detail"] = detail;
    value["run"] = to_text(run);
    return json::to_text(value);
}

auto to_text(coordination::routing::run_state run) -> std::string
{
    return run == coordination::routing::run_state::not_run ? "not-run" : "unknown";
}

} // namespace buckthorndale::protocol::caller
