// Built as C++14; see client_codec.hpp.

#include "transport/rpc/client_codec.hpp"

#include <jsonrpccpp/client.h>

namespace buckthorndale {
namespace transport {
namespace rpc {

namespace {

/// Captures the request that the library writes and returns a response that was received separately.
class memory_connector : public jsonrpc::IClientConnector {
public:
    explicit memory_connector(const std::string& response) : response_(response) {}

    void SendRPCMessage(const std::string& message,
                        std::string& result) throw(jsonrpc::JsonRpcException) override
    {
        request_ = message;
        result = response_;
    }

    const std::string& request() const { return request_; }

private:
    std::string request_;
    std::string response_;
};

} // namespace

std::string encode_request(const std::string& method, const Json::Value& parameters)
{
    memory_connector connector("{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{}}");
    jsonrpc::Client client(connector);
    Json::Value ignored;
    client.CallMethod(method, parameters, ignored);
    return connector.request();
}

decoded_response decode_response(const std::string& method, const std::string& response)
{
    memory_connector connector(response);
    jsonrpc::Client client(connector);
    decoded_response decoded{false, "", Json::Value()};
    try {
        client.CallMethod(method, Json::Value(Json::objectValue), decoded.result_);
    } catch (const jsonrpc::JsonRpcException& fault) {
        decoded.is_error_ = true;
        decoded.error_ = fault.what();
    }
    return decoded;
}

} // namespace rpc
} // namespace transport
} // namespace buckthorndale
