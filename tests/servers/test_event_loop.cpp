#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "servers/event_loop.hpp"
#include "servers/sleep.hpp"

using namespace dragonflywell;

namespace {

/// Notes its destruction in an object that a loop outlives.
class noting_guard {
public:
    explicit noting_guard(bool& is_destroyed) : m_is_destroyed(&is_destroyed) {}
    noting_guard(const noting_guard&) = delete;
    noting_guard& operator=(const noting_guard&) = delete;
    noting_guard(noting_guard&&) = delete;
    noting_guard& operator=(noting_guard&&) = delete;
    ~noting_guard() { *m_is_destroyed = true; }

private:
    bool* m_is_destroyed;
};

} // namespace

TEST_CASE("a suspended coroutine is destroyed while the objects that it uses still exist") {
    servers::event_loop loop;
    bool is_destroyed = false;
    const auto wait = [&is_destroyed]() -> servers::asio::awaitable<void> {
        const noting_guard guard(is_destroyed);
        co_await servers::sleep_for(std::chrono::hours(1));
    };
    boost::asio::co_spawn(loop, wait, boost::asio::detached);
    loop.poll();
    CHECK_FALSE(is_destroyed);
    loop.destroy_pending();
    CHECK(is_destroyed);
}
