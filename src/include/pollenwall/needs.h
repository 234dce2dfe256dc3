#pragma once

#include <cstdint>

namespace pollenwall {

inline constexpr std::uint32_t kMilliCoresPerCore = 1000;

/// The resources that a task declares to need on one worker, or those that a worker has. A task's
/// declaration may be wrong.
struct Needs
{
  std::uint32_t mMilliCores = 0; ///< Thousandths of a core.
  std::uint64_t mMemoryBytes = 0;
  std::uint32_t mAccelerators = 0;

  friend bool operator==(const Needs&, const Needs&) = default;
};

} // namespace pollenwall
