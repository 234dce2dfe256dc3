#pragma once

namespace pollenwall {

/// Empties a container and frees its memory. An assignment of {} keeps the capacity of vectors and
/// strings.
template<typename Container>
void FreeMemory(Container& aContainer)
{
  Container().swap(aContainer);
}

} // namespace pollenwall
