#pragma once

#include "transport/logging/logger.hpp"

#include <exception>
#include <string>
#include <utility>

namespace buckthorndale::transport::logging {

/// Completes a coroutine that nobody waits for: logs the exception that ended it, which would be lost
/// otherwise.
class failure_log {
public:
    /// `prefix` is that of the log line, `coroutine` names what ended.
    failure_log(std::string prefix, std::string coroutine)
        : prefix_{std::move(prefix)}, coroutine_{std::move(coroutine)}
    {}

    auto operator()(const std::exception_ptr& failure) const -> void
    {
        if (!failure)
            return;
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& fault) {
            logger{prefix_}.error("coroutine failed name=" + coroutine_ + " reason=\"" + fault.what() + "\"");
        } catch (...) {
            logger{prefix_}.error("coroutine failed name=" + coroutine_ + " reason=\"unknown\"");
        }
    }

private:
    std::string prefix_;
    std::string coroutine_;
};

} // namespace buckthorndale::transport::logging
