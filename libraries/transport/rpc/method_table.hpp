#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

/// JSON-RPC 2.0 between the system's processes, implemented with libjsonrpccpp.
namespace buckthorndale::transport::rpc {

/// The methods that a process serves. Not thread-safe.
class method_table {
public:
    using method = std::function<Json::Value(const Json::Value& parameters)>;

    method_table();
    ~method_table();

    method_table(const method_table&) = delete;
    auto operator=(const method_table&) -> method_table& = delete;

    /// Registers a method. Errors that it throws become JSON-RPC errors.
    auto add(const std::string& name, method run) -> void;

    /// Executes a request and returns the response.
    auto process(const std::string& request) -> std::string;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace buckthorndale::transport::rpc
