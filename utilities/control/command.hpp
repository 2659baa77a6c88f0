#pragma once

#include "state/network_address.hpp"

#include <string>
#include <vector>

/// The operators' command line over the administration API.
namespace buckthorndale::utilities::control {

/// What the command line says.
struct command {
    state::network_address agent_;
    std::string key_;
    bool is_json_{false};
    /// The generation that the operator looked at; empty sends the change whatever came since.
    std::string based_on_;
    std::string change_id_;
    /// The words: an action and what it acts on.
    std::vector<std::string> words_;
};

/// A call of the administration API.
struct api_call {
    std::string method_;
    std::string target_;
    std::string body_;
};

/// Turns the words of a command into a call. Throws error of kind invalid_request with the usage.
auto to_call(const command& wanted) -> api_call;

/// The words that to_call understands, one line each.
auto usage() -> std::string;

} // namespace buckthorndale::utilities::control
