#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <thread>

/// Threads that each run their own event loop.
namespace buckthorndale::transport::worker {

/// A named thread that runs its own io_context until it is stopped.
/// An exception that escapes a handler aborts the process, because it means that an invariant was violated.
class worker {
public:
    /// `name` is the operating system's name of the thread; at most 15 characters.
    explicit worker(std::string name);
    ~worker();

    worker(const worker&) = delete;
    auto operator=(const worker&) -> worker& = delete;

    auto context() -> boost::asio::io_context& { return context_; }

    /// Starts the thread. Handlers that were posted earlier run first.
    auto start() -> void;

    /// Stops the event loop after the current handler and joins the thread.
    auto stop() -> void;

private:
    auto run() -> void;

    std::string name_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace buckthorndale::transport::worker
