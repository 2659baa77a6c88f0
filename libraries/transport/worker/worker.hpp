#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <thread>

/// Threads, each with one duty.
namespace buckthorndale::transport::worker {

/// A named thread that runs the handlers of its own io_context until it is stopped.
/// An exception that leaves a handler ends the process: an invariant did not hold.
class worker {
public:
    /// The name is at most 15 characters; it shows in the system's thread lists.
    explicit worker(std::string name);
    ~worker();

    worker(const worker&) = delete;
    auto operator=(const worker&) -> worker& = delete;

    auto context() -> boost::asio::io_context& { return context_; }

    /// Starts the thread; handlers that were posted before run first.
    auto start() -> void;

    /// Asks the thread to end after the handler it runs, and waits for it.
    auto stop() -> void;

private:
    auto run() -> void;

    std::string name_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace buckthorndale::transport::worker
