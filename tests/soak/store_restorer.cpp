#include "soak/store_restorer.hpp"

#include "servers/sleep.hpp"

namespace dragonflywell::soak {

using std::chrono::milliseconds;
using std::chrono::seconds;

servers::asio::awaitable<void> store_restorer::prepare() {
    co_await servers::sleep_for(draw_length(seconds(0), seconds(5)));
    m_platform->store.inner.take_copy();
    co_await servers::sleep_for(draw_length(seconds(1), milliseconds(4500)));
    m_publish();
    co_await servers::sleep_for(draw_length(seconds(1), milliseconds(4500)));
}

servers::asio::awaitable<void> store_restorer::restore() {
    m_platform->begin_restore();
    co_await servers::sleep_for(draw_length(seconds(1), seconds(3)));
    m_platform->finish_restore();
    co_await servers::sleep_for(draw_length(milliseconds(0), milliseconds(800)));
    m_platform->rewrite_configurations(draw_bool());
    // With a further version, the topic may end again where the hosts had read up to.
    for (int change = draw_bool() ? 1 : 0; change < 2; ++change) {
        m_publish();
        co_await servers::sleep_for(draw_length(milliseconds(0), milliseconds(400)));
    }
    m_platform->rewrite_servers();
}

duration store_restorer::draw_length(duration least, duration most) {
    return duration(std::uniform_int_distribution<duration::rep>(least.count(), most.count())(m_random));
}

bool store_restorer::draw_bool() {
    return std::bernoulli_distribution()(m_random);
}

} // namespace dragonflywell::soak
