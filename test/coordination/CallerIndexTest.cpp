#include "damasklink/coordination/CallerIndex.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "../state/ConfigGenerators.h"

namespace damasklink {
namespace {

void
Install(RevisionedTree& aTree, CallerIndex& aIndex, const Subtree& aSubtree)
{
  const Subtree before = aTree.Get(aSubtree.name);
  const TreeChange change{ aTree.Current().Next(), aSubtree };
  aTree.Apply(change);
  aIndex.OnSubtreeChanged(aTree, change, before);
}

// Applying changes one at a time gives the same directory as building it from the final tree.
RC_GTEST_PROP(CallerIndexTest, IncrementalUpdatesMatchFullRebuild, ())
{
  RevisionedTree tree;
  CallerIndex index;
  const int count = *rc::gen::inRange(1, 15);
  for (int step = 0; step < count; ++step) {
    const std::string name = *rc::gen::element<std::string>("a", "b", "c");
    if (*rc::gen::inRange(0, 5) == 0) {
      Install(tree,
              index,
              { SubtreeName{ SubtreeKind::Defaults, {} },
                std::make_shared<const SubtreeContent>(AnyPolicy()) });
      continue;
    }
    const bool deleted = *rc::gen::inRange(0, 4) == 0;
    Install(tree,
            index,
            { WorkspaceSubtree(WorkspaceId(name)),
              deleted ? nullptr : std::make_shared<const SubtreeContent>(AnyWorkspace(name)) });
  }
  CallerIndex rebuilt;
  rebuilt.OnTreeReplaced(tree);
  RC_ASSERT(index.Directory().Size() == rebuilt.Directory().Size());
  RC_ASSERT(index.Directory().ServiceLevels() == rebuilt.Directory().ServiceLevels());
  for (const char* name : { "a", "b", "c" }) {
    for (const char* team : { "/team-0", "/team-1" }) {
      const Digest key = DigestOf(std::string(name) + team);
      const ResolvedPolicy* own = index.Directory().Find(key);
      const ResolvedPolicy* expected = rebuilt.Directory().Find(key);
      RC_ASSERT((own == nullptr) == (expected == nullptr));
      RC_ASSERT((own == nullptr || *own == *expected));
    }
  }
}

} // namespace
} // namespace damasklink
