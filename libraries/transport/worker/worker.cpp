#include "transport/worker/worker.hpp"

#include "transport/logging/logger.hpp"

#include <pthread.h>

#include <cstdlib>
#include <exception>
#include <utility>

namespace buckthorndale::transport::worker {

worker::worker(std::string name) : name_{std::move(name)}, work_{context_.get_executor()} {}

worker::~worker()
{
    stop();
}

auto worker::start() -> void
{
    thread_ = std::thread{[this] { run(); }};
}

auto worker::stop() -> void
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

auto worker::run() -> void
{
    pthread_setname_np(pthread_self(), name_.c_str());
    try {
        context_.run();
    } catch (const std::exception& fault) {
        logging::logger{"duty"}.error("The " + name_ + " thread failed: " + fault.what());
        std::abort();
    }
}

} // namespace buckthorndale::transport::worker
