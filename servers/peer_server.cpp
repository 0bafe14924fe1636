#include "servers/peer_server.hpp"

#include <chrono>
#include <grpcpp/grpcpp.h>

#include "core/log.hpp"
#include "proto/peer.grpc.pb.h"
#include "servers/peer_codec.hpp"

namespace dragonflywell::servers {

namespace {

// Peers send a few messages in each second, so two threads and a small quota are ample.
constexpr int most_polling_threads = 1;
constexpr int most_threads = 4;
constexpr std::size_t buffer_quota_bytes = 4 * 1024 * 1024;
constexpr int most_received_bytes = 256 * 1024;
constexpr int most_streams_per_connection = 8;
constexpr std::size_t most_records_per_answer = 256;
constexpr int least_ping_interval_milliseconds = 5000;
constexpr std::chrono::seconds stop_grace{1};

/// Maps the calls of the wire to the handler.
class peer_service final : public proto::PeerService::Service {
public:
    explicit peer_service(peer_handler& handler) : m_handler(&handler) {}

    grpc::Status Gossip(grpc::ServerContext* /*context*/, const proto::GossipMessage* request,
                        proto::GossipAnswer* answer) override {
        return answer_guarded([&] {
            for (const coordination::gossip_message& message : m_handler->on_gossip(decode(*request))) {
                encode(message, *answer->add_messages());
            }
        });
    }

    grpc::Status ReadRecords(grpc::ServerContext* /*context*/, const proto::ReadRecordsRequest* request,
                             proto::ReadRecordsAnswer* answer) override {
        return answer_guarded([&] {
            const std::size_t most = std::min<std::size_t>(request->most(), most_records_per_answer);
            const auto batch = m_handler->on_read_records(request->stream(), request->from(), most);
            if (batch) {
                encode(*batch, *answer);
            }
        });
    }

    grpc::Status ReadConfiguration(grpc::ServerContext* /*context*/, const proto::ReadConfigurationRequest* request,
                                   proto::ReadConfigurationAnswer* answer) override {
        return answer_guarded([&] { encode(m_handler->on_read_configuration(request->after()), *answer); });
    }

private:
    template <typename Action>
    static grpc::Status answer_guarded(Action action) {
        try {
            action();
            return grpc::Status::OK;
        } catch (const malformed_message_error& fault) {
            return {grpc::StatusCode::INVALID_ARGUMENT, fault.what()};
        } catch (const std::exception& fault) {
            get_logger("peers")->warn("A call of another daemon failed: {}.", fault.what());
            return {grpc::StatusCode::INTERNAL, "the daemon could not answer"};
        }
    }

    peer_handler* m_handler;
};

} // namespace

class peer_server::implementation {
public:
    implementation(const endpoint& listen, peer_handler& handler) : m_service(handler) {
        grpc::ResourceQuota quota("peers");
        quota.Resize(buffer_quota_bytes);
        quota.SetMaxThreads(most_threads);
        grpc::ServerBuilder builder;
        builder.SetResourceQuota(quota);
        builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
        builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, 1);
        builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, most_polling_threads);
        builder.SetMaxReceiveMessageSize(most_received_bytes);
        builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, most_streams_per_connection);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                                   least_ping_interval_milliseconds);
        // Two daemons must not listen on one port without noticing.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddListeningPort(format_endpoint(listen), grpc::InsecureServerCredentials(), &m_port);
        builder.RegisterService(&m_service);
        m_server = builder.BuildAndStart();
        if (m_server == nullptr || m_port == 0) {
            throw peer_listen_error("cannot listen for peers on " + format_endpoint(listen));
        }
    }

    void stop() {
        m_server->Shutdown(std::chrono::system_clock::now() + stop_grace);
        m_server->Wait();
    }

    [[nodiscard]] std::uint16_t get_port() const noexcept { return static_cast<std::uint16_t>(m_port); }

private:
    peer_service m_service;
    int m_port{0};
    std::unique_ptr<grpc::Server> m_server;
};

peer_server::peer_server(const endpoint& listen, peer_handler& handler)
    : m_implementation(std::make_unique<implementation>(listen, handler)) {}

peer_server::~peer_server() {
    stop();
}

void peer_server::stop() {
    m_implementation->stop();
}

std::uint16_t peer_server::get_port() const noexcept {
    return m_implementation->get_port();
}

} // namespace dragonflywell::servers
