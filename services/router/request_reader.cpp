#include <utility>

#include "router/request_reader.hpp"

#include "protocol/caller/header_names.hpp"
#include "state/error.hpp"
#include "state/number_from_text.hpp"
#include "state/stable_hash.hpp"
#include "transport/http/query.hpp"
#include "transport/process/random.hpp"
#include "transport/process/sha256.hpp"

namespace buckthorndale::services::router {

namespace {

namespace caller = protocol::caller;
using state::error;
using state::error_kind;
using transport::http::header_text;
using transport::http::request;

constexpr auto chat_path = std::string_view{"/v1/chat/completions"};
constexpr auto service_prefix = std::string_view{"/services/"};
constexpr auto bearer_prefix = std::string_view{"Bearer "};
constexpr auto max_header_length = std::size_t{200};
constexpr auto max_deadline_ms = std::int64_t{3'600'000};

auto checked_header(const request& message, std::string_view name) -> std::string
{
    auto text = header_text(message, name);
    if (text.size() > max_header_length)
        throw error{error_kind::invalid_request, std::string{name} + " is too long.",
                    "Use at most 200 characters."};
    return text;
}

auto find_by_key_hash(const state::configuration& configuration, const std::string& hash)
    -> const state::workspace*
{
    for (const auto& [id, workspace] : configuration.workspaces_) {
        if (workspace.key_hash_ == hash)
            return &workspace;
    }
    return nullptr;
}

auto authenticate(const request& message, const state::configuration& configuration)
    -> const state::workspace&
{
    const auto authorization = header_text(message, "Authorization");
    if (!authorization.starts_with(bearer_prefix))
        throw error{error_kind::unauthenticated, "The request has no Authorization header with a bearer key.",
                    "Send the workspace's key as 'Authorization: Bearer KEY'."};
    const auto hash = transport::process::sha256(authorization.substr(bearer_prefix.size()));
    const auto* workspace = find_by_key_hash(configuration, hash);
    if (workspace == nullptr)
        throw error{error_kind::unauthenticated, "The key is not known.",
                    "Check the key, or ask the operators for a new one."};
    const auto workspace_name = checked_header(message, caller::workspace_header);
    if (!workspace_name.empty() && workspace_name != workspace->id_.text())
        throw error{error_kind::forbidden, "The key does not belong to workspace " + workspace_name + ".",
                    "Use the workspace's own key."};
    return *workspace;
}

auto read_deadline(const request& message) -> state::duration
{
    const auto text = checked_header(message, caller::deadline_header);
    if (text.empty())
        return {};
    const auto count = state::number_from_text<std::int64_t>(text);
    if (!count || *count < 1 || *count > max_deadline_ms)
        throw error{error_kind::invalid_request, "The deadline is not a valid number of milliseconds.",
                    "Send an integer from 1 to 3600000."};
    return std::chrono::milliseconds{*count};
}

auto read_session(const request& message, state::request_description& description) -> void
{
    description.session_ = state::session_id{checked_header(message, caller::session_header)};
    const auto token = header_text(message, caller::session_token_header);
    if (token.empty())
        return;
    auto pin = state::session_pin_from_token(token);
    if (!description.session_.is_empty() && pin.session_ != description.session_)
        throw error{error_kind::invalid_request, "The session token belongs to another session.",
                    "Send the token from the last response of this session."};
    description.session_ = pin.session_;
    description.pin_ = std::move(pin);
}

auto new_request_id() -> state::request_id
{
    static thread_local auto random = transport::process::system_random{};
    return state::request_id{"r-" + std::to_string(random.next())};
}

auto read_model_request(const request& message, const state::workspace& workspace, caller_request& target)
    -> void
{
    auto& description = target.description_;
    description.target_ = state::target_kind::model;
    target.chat_.emplace(message.body());
    auto profile = checked_header(message, caller::profile_header);
    if (profile.empty())
        profile = target.chat_->model();
    if (profile.empty() && workspace.profiles_.size() == 1)
        profile = workspace.profiles_.front().text();
    if (profile.empty())
        throw error{error_kind::invalid_request, "The request specifies no profile.",
                    "Specify one in the X-Profile header or in the field 'model'."};
    description.profile_ = state::profile_name{profile};
    description.content_ = target.chat_->content();
    description.prefix_ = target.chat_->prefix();
}

auto is_safe_method(const request& message) -> bool
{
    using verb = transport::http::beast::http::verb;
    const auto method = message.method();
    return method == verb::get || method == verb::head || method == verb::options;
}

auto read_service_request(request message, const std::string& path, bool has_supplied_id,
                          caller_request& target) -> void
{
    auto& description = target.description_;
    description.target_ = state::target_kind::service;
    const auto remainder = path.substr(service_prefix.size());
    const auto slash = remainder.find('/');
    description.service_ = state::service_name{remainder.substr(0, slash)};
    const auto query = transport::http::split_target(message.target()).query_;
    auto forwarded_target = slash == std::string::npos ? std::string{"/"} : remainder.substr(slash);
    if (!query.empty())
        forwarded_target.append("?").append(query);
    description.content_ = state::content_fingerprint{
        state::stable_hash(std::string{message.method_string()} + path + "\n" + message.body())};
    description.is_repeatable_ = is_safe_method(message);
    // Without an idempotency key, a request id that the caller chose identifies retries of the request.
    auto key = checked_header(message, caller::idempotency_key_header);
    if (key.empty() && has_supplied_id)
        key = description.id_.text();
    if (!key.empty() && !description.is_repeatable_)
        description.idempotency_key_ = key;
    message.target(forwarded_target);
    message.erase("Authorization");
    target.plain_request_ = std::move(message);
}

} // namespace

auto is_served_path(std::string_view path) -> bool
{
    return path == chat_path || path.starts_with(service_prefix);
}

auto read_caller_request(request message, const state::configuration& configuration, caller_request& target)
    -> void
{
    const auto path = transport::http::split_target(message.target()).path_;
    const auto& workspace = authenticate(message, configuration);
    auto& description = target.description_;
    description.workspace_ = workspace.id_;
    const auto supplied_id = checked_header(message, caller::request_id_header);
    description.id_ = supplied_id.empty() ? new_request_id() : state::request_id{supplied_id};
    description.request_type_ = checked_header(message, caller::request_type_header);
    description.time_allowed_ = read_deadline(message);
    if (path == chat_path) {
        if (message.method() != transport::http::beast::http::verb::post)
            throw error{error_kind::invalid_request, "The method is not POST.", "Use POST for this path."};
        read_session(message, description);
        read_model_request(message, workspace, target);
        return;
    }
    read_service_request(std::move(message), path, !supplied_id.empty(), target);
}

} // namespace buckthorndale::services::router
