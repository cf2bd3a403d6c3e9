#include "answer_rater.h"

#include "bulrushpitch/core/hash.h"

#include <string>
#include <utility>

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

/// Passes a rating on to the quality estimates and the rollouts.
void recordRating(const ModelServiceDependencies &Dependencies, const Runtime &Base, const TeamId &Team,
                  const TaskName &Task, const VersionId &Rated, double Rating) {
  Dependencies.m_Routing.quality().record(Team, Task, Rated, Rating, Base.m_Clock());
  Dependencies.m_Routing.rollouts().record(Rated, Task, Rating);
}

} // namespace

AnswerRater::AnswerRater(const Runtime &Base, const ModelServiceDependencies &Dependencies,
                         const AnswerInProgress &Answer)
    : m_Runtime(Base), m_Dependencies(Dependencies), m_Answer(Answer) {}

asio::awaitable<bool> AnswerRater::accept() {
  const RouteDecision &Decision = m_Answer.m_Decision;
  if (!Decision.m_RateBeforeRelease) {
    rateSample();
    co_return true;
  }
  RatingRequest Request = ratingRequest();
  Expected<double> Rating = co_await m_Dependencies.m_Ratings.rate(std::move(Request));
  if (Rating)
    recordRating(m_Dependencies, m_Runtime, m_Answer.m_Call.m_Team, m_Answer.m_Call.m_Task,
                 Decision.m_Version, *Rating);
  const double Quality = Rating ? *Rating : Decision.m_PredictedQuality;
  const bool Accept =
      Quality >= Decision.m_AcceptAt || remainingTime(m_Answer, m_Runtime) <= Duration::zero();
  m_Dependencies.m_Explain.add(m_Answer.m_Call.m_Request, Accept ? "accept" : "escalate", Decision.m_Upstream,
                               Decision.m_Version,
                               (Rating ? "rated " : "not rated, predicted ") + std::to_string(Quality) +
                                   ", threshold " + std::to_string(Decision.m_AcceptAt));
  co_return Accept;
}

RatingRequest AnswerRater::ratingRequest() const {
  RatingRequest Request;
  Request.m_Task = m_Answer.m_Call.m_Task;
  Request.m_Version = m_Answer.m_Decision.m_Version;
  Request.m_Prompt = m_Answer.m_PromptText;
  Request.m_Answer = m_Answer.m_Text;
  return Request;
}

void AnswerRater::rateSample() {
  const double DefaultShare = m_Dependencies.m_Cluster.effectiveConfiguration()->m_Limits.m_RatingSample;
  const double Share =
      m_Dependencies.m_Routing.rollouts().ratingShare(m_Answer.m_Decision.m_Version, DefaultShare);
  if (unitValue(m_Runtime.m_Random()) < Share)
    spawn(m_Runtime.m_Context,
          rateInBackground(m_Dependencies, m_Runtime, m_Answer.m_Call.m_Team, ratingRequest()));
}

asio::awaitable<void> AnswerRater::rateInBackground(ModelServiceDependencies Dependencies, Runtime Base,
                                                    TeamId Team, RatingRequest Request) {
  const TaskName Task = Request.m_Task;
  const VersionId Rated = Request.m_Version;
  Expected<double> Rating = co_await Dependencies.m_Ratings.rate(std::move(Request));
  if (Rating)
    recordRating(Dependencies, Base, Team, Task, Rated, *Rating);
}

} // namespace bulrushpitch
