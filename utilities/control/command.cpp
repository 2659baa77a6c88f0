#include "control/command.hpp"

#include "state/error.hpp"
#include "transport/http/percent_encoding.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string_view>

namespace buckthorndale::utilities::control {

namespace {

using state::error;
using state::error_kind;

constexpr auto kinds = std::array<std::string_view, 4>{"versions", "profiles", "workspaces", "roll-outs"};
constexpr auto reports =
    std::array<std::string_view, 5>{"status", "instances", "ledger", "changes", "evidence"};
constexpr auto version_actions = std::array<std::string_view, 3>{"serve", "drain", "withdraw"};
constexpr auto roll_out_actions =
    std::array<std::string_view, 5>{"pause", "resume", "advance", "complete", "roll-back"};

template <typename Names>
auto is_one_of(const Names& names, std::string_view word) -> bool
{
    return std::ranges::find(names, word) != names.end();
}

auto word_at(const command& wanted, std::size_t index, const std::string& meaning) -> const std::string&
{
    if (index >= wanted.words_.size())
        throw error{error_kind::invalid_request, "The command lacks " + meaning + ".", "Write:\n" + usage()};
    return wanted.words_[index];
}

/// The word as a part of a target.
auto encoded_word_at(const command& wanted, std::size_t index, const std::string& meaning) -> std::string
{
    return transport::http::encode_component(word_at(wanted, index, meaning));
}

auto kind_at(const command& wanted, std::size_t index) -> const std::string&
{
    const auto& kind = word_at(wanted, index, "a kind");
    if (!is_one_of(kinds, kind))
        throw error{error_kind::invalid_request, "'" + kind + "' is not a kind.",
                    "Use versions, profiles, workspaces or roll-outs."};
    return kind;
}

auto read_file(const std::string& path) -> std::string
{
    if (path == "-")
        return {std::istreambuf_iterator<char>{std::cin}, {}};
    auto file = std::ifstream{path};
    if (!file)
        throw error{error_kind::invalid_request, "The file '" + path + "' cannot be read.",
                    "Check its path, or use - for standard input."};
    return {std::istreambuf_iterator<char>{file}, {}};
}

auto roll_out_call(const command& wanted, const std::string& action) -> api_call
{
    auto target = "/v1/roll-outs/" + encoded_word_at(wanted, 1, "a model") + "/" + action;
    if (action == "advance")
        target += "?share=" + encoded_word_at(wanted, 2, "a share from 0 to 1000");
    return {.method_ = "POST", .target_ = target};
}

auto report_call(const command& wanted, const std::string& report) -> api_call
{
    auto target = "/v1/" + report;
    if (report == "ledger" && wanted.words_.size() > 1)
        target += "?workspace=" + transport::http::encode_component(wanted.words_[1]);
    return {.method_ = "GET", .target_ = target};
}

} // namespace

auto to_call(const command& wanted) -> api_call
{
    const auto& action = word_at(wanted, 0, "an action");
    if (is_one_of(reports, action))
        return report_call(wanted, action);
    if (action == "list")
        return {.method_ = "GET", .target_ = "/v1/" + kind_at(wanted, 1)};
    if (action == "show")
        return {.method_ = "GET",
                .target_ = "/v1/" + kind_at(wanted, 1) + "/" + encoded_word_at(wanted, 2, "a name")};
    if (action == "put")
        return {.method_ = "PUT",
                .target_ = "/v1/" + kind_at(wanted, 1),
                .body_ = read_file(word_at(wanted, 2, "a file"))};
    if (action == "delete")
        return {.method_ = "DELETE",
                .target_ = "/v1/" + kind_at(wanted, 1) + "/" + encoded_word_at(wanted, 2, "a name")};
    if (is_one_of(version_actions, action))
        return {.method_ = "POST",
                .target_ = "/v1/versions/" + encoded_word_at(wanted, 1, "a version") + "/" + action};
    if (is_one_of(roll_out_actions, action))
        return roll_out_call(wanted, action);
    throw error{error_kind::invalid_request, "'" + action + "' is not an action.", "Write:\n" + usage()};
}

auto usage() -> std::string
{
    return "  list KIND | show KIND NAME | put KIND FILE | delete KIND NAME\n"
           "      with KIND versions, profiles, workspaces or roll-outs, and FILE - for standard input\n"
           "  serve VERSION | drain VERSION | withdraw VERSION\n"
           "  pause MODEL | resume MODEL | advance MODEL SHARE | complete MODEL | roll-back MODEL\n"
           "  status | instances | changes | evidence | ledger [WORKSPACE]";
}

} // namespace buckthorndale::utilities::control
