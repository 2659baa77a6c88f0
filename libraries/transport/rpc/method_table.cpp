#include "transport/rpc/method_table.hpp"

#include "state/error.hpp"

#include <jsonrpccpp/server.h>

#include <map>
#include <utility>

namespace buckthorndale::transport::rpc {

namespace {

/// Passes requests to the library and captures its response; the HTTP server does the transport.
class memory_connector : public jsonrpc::AbstractServerConnector {
public:
    auto StartListening() -> bool override { return true; } // NOLINT: the library's name

    auto StopListening() -> bool override { return true; } // NOLINT: the library's name

    auto SendResponse(const std::string& response, void* target)
        -> bool override // NOLINT: the library's name
    {
        *static_cast<std::string*>(target) = response;
        return true;
    }
};

class method_server : public jsonrpc::AbstractServer<method_server> {
public:
    explicit method_server(jsonrpc::AbstractServerConnector& connector)
        : jsonrpc::AbstractServer<method_server>{connector}
    {}

    auto add(const std::string& name, method_table::method run) -> void
    {
        auto procedure = jsonrpc::Procedure{};
        procedure.SetProcedureName(name);
        procedure.SetProcedureType(jsonrpc::RPC_METHOD);
        procedure.SetReturnType(jsonrpc::JSON_OBJECT);
        procedure.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
        bindAndAddMethod(procedure, &method_server::unused_handler);
        methods_[name] = std::move(run);
    }

    auto HandleMethodCall(jsonrpc::Procedure& procedure,
                          const Json::Value& parameters, // NOLINT: the library's name
                          Json::Value& result) -> void override
    {
        try {
            result = methods_.at(procedure.GetProcedureName())(parameters);
        } catch (const state::error& fault) {
            throw jsonrpc::JsonRpcException{jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, fault.what()};
        }
    }

    auto unused_handler(const Json::Value& /*parameters*/, Json::Value& /*result*/) -> void {}

private:
    std::map<std::string, method_table::method> methods_;
};

} // namespace

struct method_table::implementation {
    memory_connector connector_;
    method_server server_{connector_};
};

method_table::method_table() : implementation_{std::make_unique<implementation>()} {}

method_table::~method_table() = default;

auto method_table::add(const std::string& name, method run) -> void
{
    implementation_->server_.add(name, std::move(run));
}

auto method_table::process(const std::string& request) -> std::string
{
    auto response = std::string{};
    implementation_->connector_.OnRequest(request, &response);
    return response;
}

} // namespace buckthorndale::transport::rpc
