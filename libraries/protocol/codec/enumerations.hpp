#pragma once

#include "state/endpoint.hpp"
#include "state/profile.hpp"
#include "state/roll_out.hpp"
#include "state/version_settings.hpp"

#include <string>
#include <string_view>

namespace buckthorndale::protocol::codec {

// The ..._from_text functions throw error of kind invalid_request, which lists the allowed values.

auto to_text(state::version_state value) -> std::string_view;
auto version_state_from_text(const std::string& text) -> state::version_state;

auto to_text(state::roll_out_emphasis value) -> std::string_view;
auto emphasis_from_text(const std::string& text) -> state::roll_out_emphasis;

auto to_text(state::roll_out_state value) -> std::string_view;
auto roll_out_state_from_text(const std::string& text) -> state::roll_out_state;

auto to_text(state::endpoint_kind value) -> std::string_view;
auto endpoint_kind_from_text(const std::string& text) -> state::endpoint_kind;

auto to_text(state::instance_state value) -> std::string_view;
auto instance_state_from_text(const std::string& text) -> state::instance_state;

} // namespace buckthorndale::protocol::codec
