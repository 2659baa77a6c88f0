#pragma once

#include "state/network_address.hpp"

#include <cstdint>
#include <string>

/// A load program for loopback: it measures first token, time between tokens and throughput.
namespace buckthorndale::utilities::load {

struct load_settings {
    state::network_address target_;
    /// The workspace's key for a router; empty when the target is an engine.
    std::string key_;
    std::string profile_;
    /// The version to ask an engine for.
    std::string version_;
    int callers_{1};
    int requests_{100};
    int tokens_{100};
    /// Requests a second over all callers; 0 sends each as soon as the one before has ended.
    double rate_{0};
};

} // namespace buckthorndale::utilities::load
