#include "protocol/codec/enumerations.hpp"

#include "state/error.hpp"

#include <array>

namespace buckthorndale::protocol::codec {

namespace {

template <typename Value>
struct named_value {
    std::string_view name_;
    Value value_;
};

constexpr auto version_states = std::array{
    named_value<state::version_state>{.name_ = "serving", .value_ = state::version_state::serving},
    named_value<state::version_state>{.name_ = "draining", .value_ = state::version_state::draining},
    named_value<state::version_state>{.name_ = "withdrawn", .value_ = state::version_state::withdrawn},
};

constexpr auto emphases = std::array{
    named_value<state::roll_out_emphasis>{.name_ = "exposure", .value_ = state::roll_out_emphasis::exposure},
    named_value<state::roll_out_emphasis>{.name_ = "latency", .value_ = state::roll_out_emphasis::latency},
};

constexpr auto roll_out_states = std::array{
    named_value<state::roll_out_state>{.name_ = "running", .value_ = state::roll_out_state::running},
    named_value<state::roll_out_state>{.name_ = "paused", .value_ = state::roll_out_state::paused},
    named_value<state::roll_out_state>{.name_ = "halted", .value_ = state::roll_out_state::halted},
    named_value<state::roll_out_state>{.name_ = "complete", .value_ = state::roll_out_state::complete},
};

constexpr auto endpoint_kinds = std::array{
    named_value<state::endpoint_kind>{.name_ = "engine", .value_ = state::endpoint_kind::engine},
    named_value<state::endpoint_kind>{.name_ = "service", .value_ = state::endpoint_kind::service},
};

constexpr auto instance_states = std::array{
    named_value<state::instance_state>{.name_ = "live", .value_ = state::instance_state::live},
    named_value<state::instance_state>{.name_ = "leaving", .value_ = state::instance_state::leaving},
};

template <typename Names, typename Value>
auto name_of(const Names& names, Value value) -> std::string_view
{
    for (const auto& named : names) {
        if (named.value_ == value)
            return named.name_;
    }
    return "unnamed";
}

template <typename Names>
auto value_of(const Names& names, const std::string& text)
{
    auto allowed = std::string{};
    for (const auto& named : names) {
        if (named.name_ == text)
            return named.value_;
        allowed.append(allowed.empty() ? "" : ", ").append(named.name_);
    }
    throw state::error{state::error_kind::invalid_request, "'" + text + "' is not an allowed value.",
                       "Use one of: " + allowed + "."};
}

} // namespace

auto to_text(state::version_state value) -> std::string_view
{
    return name_of(version_states, value);
}

auto version_state_from_text(const std::string& text) -> state::version_state
{
    return value_of(version_states, text);
}

auto to_text(state::roll_out_emphasis value) -> std::string_view
{
    return name_of(emphases, value);
}

auto emphasis_from_text(const std::string& text) -> state::roll_out_emphasis
{
    return value_of(emphases, text);
}

auto to_text(state::roll_out_state value) -> std::string_view
{
    return name_of(roll_out_states, value);
}

auto roll_out_state_from_text(const std::string& text) -> state::roll_out_state
{
    return value_of(roll_out_states, text);
}

auto to_text(state::endpoint_kind value) -> std::string_view
{
    return name_of(endpoint_kinds, value);
}

auto endpoint_kind_from_text(const std::string& text) -> state::endpoint_kind
{
    return value_of(endpoint_kinds, text);
}

auto to_text(state::instance_state value) -> std::string_view
{
    return name_of(instance_states, value);
}

auto instance_state_from_text(const std::string& text) -> state::instance_state
{
    return value_of(instance_states, text);
}

} // namespace buckthorndale::protocol::codec
