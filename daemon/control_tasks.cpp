#include "daemon/control_tasks.hpp"

#include "daemon/configuration_task.hpp"
#include "daemon/history_task.hpp"
#include "daemon/usage_task.hpp"
#include "daemon/zone_control_task.hpp"

namespace dragonflywell::daemon {

std::vector<std::unique_ptr<control_task>> make_control_tasks(const daemon_parts& parts) {
    std::vector<std::unique_ptr<control_task>> tasks;
    tasks.push_back(std::make_unique<configuration_task>(parts));
    tasks.push_back(std::make_unique<usage_task>(parts));
    tasks.push_back(std::make_unique<zone_control_task>(parts));
    tasks.push_back(std::make_unique<history_task>(parts));
    return tasks;
}

} // namespace dragonflywell::daemon
