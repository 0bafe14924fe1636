#include "servers/limit_announcer.hpp"

#include <algorithm>
#include <utility>

#include "servers/host_digest.hpp"

namespace dragonflywell::servers {

namespace {

using reports = std::vector<policy::server_limit_report>;

/// Moves reports from the front, as long as they fit. Returns the room that is left.
std::size_t move_front(reports& from, reports& to, std::size_t max_reports, std::size_t room) {
    auto next = from.begin();
    for (; next != from.end() && to.size() < max_reports; ++next) {
        const std::size_t size = get_encoded_size(*next);
        if (size > room) {
            break;
        }
        room -= size;
        to.push_back(std::move(*next));
    }
    from.erase(from.begin(), next);
    return room;
}

} // namespace

std::vector<policy::server_limit_report> limit_announcer::take(std::vector<policy::server_limit_report> known,
                                                               std::size_t room) {
    reports chosen;
    const std::size_t newest_room = room / 2;
    const std::size_t left = move_front(known, chosen, max_servers / 2, newest_room);
    const std::size_t newest = chosen.size();
    std::sort(known.begin(), known.end(), [](const auto& one, const auto& other) { return one.server < other.server; });
    const auto next =
        std::find_if(known.begin(), known.end(), [this](const auto& report) { return m_last < report.server; });
    std::rotate(known.begin(), next, known.end());
    move_front(known, chosen, max_servers, room - newest_room + left);
    if (chosen.size() > newest) {
        m_last = chosen.back().server;
    }
    return chosen;
}

} // namespace dragonflywell::servers
