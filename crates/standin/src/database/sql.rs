//! Translates PostgreSQL's SQL for the embedded engine.
//!
//! Statements are parsed by `sqlparser`, casts are rewritten, and parameter
//! types are inferred from casts, from arithmetic, and from the columns that the
//! parameters are compared with or assigned to.

use std::collections::BTreeMap;
use std::ops::ControlFlow;

use sqlparser::ast::{
    BinaryOperator, CastKind, DataType, Expr, Insert, SelectItem, SetExpr, Statement, TableObject,
    Value as SqlValue, visit_expressions, visit_expressions_mut, visit_relations,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::{Parser, ParserError};

use crate::database::value::{oid, oid_of_declaration};

/// Kind of a statement, as far as a session distinguishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementKind {
    /// Returns rows and changes nothing.
    Read,
    /// Changes rows or the schema; also any other statement.
    Write,
    /// `BEGIN`.
    Begin,
    /// `COMMIT`.
    Commit,
    /// `ROLLBACK`.
    Rollback,
    /// Changes a setting of the session, without any other effect.
    Setting,
    /// Returns a setting of the session.
    Show,
}

/// A statement, parsed and rewritten for the embedded engine.
#[derive(Debug, Clone)]
pub struct ParsedStatement {
    /// Kind of the statement.
    pub kind: StatementKind,
    /// Text for the embedded engine.
    pub sql: String,
    /// Command tag without the row count; `INSERT 0` for an insert.
    pub tag: String,
    /// Whether it names a table, and so holds a slot for the statement time.
    pub uses_tables: bool,
    /// Types of `$1`, `$2` and so on.
    pub parameter_oids: Vec<u32>,
    /// Types of result columns, where the statement's text determines them.
    pub column_oids: Vec<Option<u32>>,
    /// Total seconds of its `pg_sleep` calls.
    pub sleep_seconds: f64,
}

/// Declared types of all columns, by lower-case table and column.
pub type ColumnTypes = BTreeMap<(String, String), u32>;

/// Declared types of the columns of one statement's tables.
type ScopeTypes = BTreeMap<String, u32>;

/// Parses a text of one or more statements, with the declared column types and
/// the parameter types given by the client.
///
/// # Errors
///
/// The parser's error, to be reported to the client as a syntax error.
pub fn parse_statements(
    text: &str,
    columns: &ColumnTypes,
    given_oids: &[u32],
) -> Result<Vec<ParsedStatement>, ParserError> {
    let mut parsed = Vec::new();
    for statement in Parser::parse_sql(&PostgreSqlDialect {}, text)? {
        parsed.push(parse_one(statement, columns, given_oids));
    }
    Ok(parsed)
}

fn parse_one(
    mut statement: Statement,
    columns: &ColumnTypes,
    given_oids: &[u32],
) -> ParsedStatement {
    let mut tables = Vec::new();
    let _ = visit_relations(&statement, |name| {
        tables.push(name.to_string().to_lowercase());
        ControlFlow::<()>::Continue(())
    });
    let mut scope = ScopeTypes::new();
    for ((table, column), oid) in columns {
        if tables.contains(table) {
            scope.insert(column.clone(), *oid);
        }
    }
    let parameter_oids = parameter_oids(&statement, &scope, given_oids);
    let column_oids = column_oids(&statement);
    let uses_tables = !tables.is_empty();
    let sleep_seconds = sleep_seconds(&statement);
    rewrite_casts(&mut statement);
    let (kind, tag) = classify(&statement);
    ParsedStatement {
        kind,
        sql: statement.to_string(),
        tag: tag.to_owned(),
        uses_tables,
        parameter_oids,
        column_oids,
        sleep_seconds,
    }
}

fn classify(statement: &Statement) -> (StatementKind, &'static str) {
    match statement {
        Statement::StartTransaction { .. } => (StatementKind::Begin, "BEGIN"),
        Statement::Commit { .. } => (StatementKind::Commit, "COMMIT"),
        Statement::Rollback {
            savepoint: None, ..
        } => (StatementKind::Rollback, "ROLLBACK"),
        Statement::Set(_) => (StatementKind::Setting, "SET"),
        Statement::ShowVariable { .. } => (StatementKind::Show, "SHOW"),
        Statement::Query(query) => match query.body.as_ref() {
            SetExpr::Insert(_) => (StatementKind::Write, "INSERT 0"),
            SetExpr::Update(_) => (StatementKind::Write, "UPDATE"),
            SetExpr::Delete(_) => (StatementKind::Write, "DELETE"),
            _ => (StatementKind::Read, "SELECT"),
        },
        Statement::Insert(_) => (StatementKind::Write, "INSERT 0"),
        Statement::Update { .. } => (StatementKind::Write, "UPDATE"),
        Statement::Delete(_) => (StatementKind::Write, "DELETE"),
        Statement::Savepoint { .. } => (StatementKind::Write, "SAVEPOINT"),
        Statement::ReleaseSavepoint { .. } => (StatementKind::Write, "RELEASE"),
        Statement::Rollback { .. } => (StatementKind::Write, "ROLLBACK"),
        Statement::CreateTable(_) => (StatementKind::Write, "CREATE TABLE"),
        _ => (StatementKind::Write, "OK"),
    }
}

/// Rewrites `x::type`, which the embedded engine does not know, to
/// `CAST(x AS type)`, and the type `bytea` to `blob`.
fn rewrite_casts(statement: &mut Statement) {
    let _ = visit_expressions_mut(statement, |expr| {
        if let Expr::Cast {
            kind, data_type, ..
        } = expr
        {
            *kind = CastKind::Cast;
            if matches!(data_type, DataType::Bytea) {
                *data_type = DataType::Blob(None);
            }
        }
        ControlFlow::<()>::Continue(())
    });
}

/// Number of a placeholder: 3 for `$3`.
fn placeholder(expr: &Expr) -> Option<usize> {
    let Expr::Value(value) = expr else {
        return None;
    };
    let SqlValue::Placeholder(name) = &value.value else {
        return None;
    };
    name.strip_prefix('$')?.parse().ok()
}

fn column_name(expr: &Expr) -> Option<String> {
    match expr {
        Expr::Identifier(ident) => Some(ident.value.to_lowercase()),
        Expr::CompoundIdentifier(parts) => parts.last().map(|ident| ident.value.to_lowercase()),
        Expr::Nested(inner) => column_name(inner),
        _ => None,
    }
}

/// Types of a statement's placeholders, 0 where unknown. The first type found for
/// a placeholder is kept.
#[derive(Debug, Default)]
struct ParameterTypes {
    oids: Vec<u32>,
}

impl ParameterTypes {
    fn infer_type(&mut self, number: usize, oid: u32) {
        if number == 0 {
            return;
        }
        if self.oids.len() < number {
            self.oids.resize(number, 0);
        }
        if self.oids[number - 1] == 0 {
            self.oids[number - 1] = oid;
        }
    }

    fn infer_from_column(&mut self, columns: &ScopeTypes, left: &Expr, right: &Expr) {
        let (Some(number), Some(name)) = (placeholder(left), column_name(right)) else {
            return;
        };
        if let Some(oid) = columns.get(&name) {
            self.infer_type(number, *oid);
        }
    }
}

fn parameter_oids(statement: &Statement, columns: &ScopeTypes, given_oids: &[u32]) -> Vec<u32> {
    let mut types = ParameterTypes {
        oids: given_oids.to_vec(),
    };
    if let Some(insert) = as_insert(statement) {
        infer_from_insert(&mut types, insert, columns);
    }
    if let Statement::Update(update) = statement {
        for assignment in &update.assignments {
            let name = assignment.target.to_string().to_lowercase();
            if let (Some(number), Some(oid)) = (placeholder(&assignment.value), columns.get(&name))
            {
                types.infer_type(number, *oid);
            }
        }
    }
    let _ = visit_expressions(statement, |expr| {
        infer_from_expression(&mut types, expr, columns);
        ControlFlow::<()>::Continue(())
    });
    let _ = visit_expressions(statement, |expr| {
        if let Some(number) = placeholder(expr) {
            types.infer_type(number, oid::TEXT);
        }
        ControlFlow::<()>::Continue(())
    });
    for oid in &mut types.oids {
        if *oid == 0 {
            *oid = oid::TEXT;
        }
    }
    types.oids
}

fn infer_from_expression(types: &mut ParameterTypes, expr: &Expr, columns: &ScopeTypes) {
    match expr {
        Expr::Cast {
            expr, data_type, ..
        } => {
            if let Some(number) = placeholder(expr) {
                types.infer_type(number, oid_of_declaration(&data_type.to_string()));
            }
        }
        Expr::BinaryOp { left, right, op } => {
            types.infer_from_column(columns, left, right);
            types.infer_from_column(columns, right, left);
            let arithmetic = matches!(op, BinaryOperator::Plus | BinaryOperator::Minus);
            for side in [left, right] {
                if let (true, Some(number)) = (arithmetic, placeholder(side)) {
                    types.infer_type(number, oid::INT8);
                }
            }
        }
        Expr::Between {
            expr, low, high, ..
        } => {
            types.infer_from_column(columns, low, expr);
            types.infer_from_column(columns, high, expr);
        }
        _ => {}
    }
}

fn as_insert(statement: &Statement) -> Option<&Insert> {
    match statement {
        Statement::Insert(insert) => Some(insert),
        _ => None,
    }
}

fn infer_from_insert(types: &mut ParameterTypes, insert: &Insert, columns: &ScopeTypes) {
    let TableObject::TableName(_) = &insert.table else {
        return;
    };
    let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|query| query.body.as_ref())
    else {
        return;
    };
    for row in &values.rows {
        for (column, expr) in insert.columns.iter().zip(row.content.iter()) {
            let name = column.to_string().to_lowercase();
            if let (Some(number), Some(oid)) = (placeholder(expr), columns.get(&name)) {
                types.infer_type(number, *oid);
            }
        }
    }
}

fn column_oids(statement: &Statement) -> Vec<Option<u32>> {
    let Statement::Query(query) = statement else {
        return Vec::new();
    };
    let SetExpr::Select(select) = query.body.as_ref() else {
        return Vec::new();
    };
    let mut oids = Vec::new();
    for item in &select.projection {
        let (SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. }) = item else {
            // A wildcard expands to an unknown number of columns.
            return Vec::new();
        };
        oids.push(expression_oid(expr));
    }
    oids
}

fn expression_oid(expr: &Expr) -> Option<u32> {
    match expr {
        Expr::Cast { data_type, .. } => Some(oid_of_declaration(&data_type.to_string())),
        Expr::Nested(inner) => expression_oid(inner),
        Expr::Value(value) => match &value.value {
            SqlValue::Number(text, _) if text.contains('.') => Some(oid::FLOAT8),
            SqlValue::Number(..) => Some(oid::INT4),
            SqlValue::Boolean(_) => Some(oid::BOOL),
            _ => None,
        },
        Expr::Function(function) => match function.name.to_string().to_lowercase().as_str() {
            "count" | "sum" => Some(oid::INT8),
            _ => None,
        },
        Expr::BinaryOp { left, op, right } => match op {
            BinaryOperator::Eq | BinaryOperator::Lt | BinaryOperator::Gt => Some(oid::BOOL),
            _ => expression_oid(left).or_else(|| expression_oid(right)),
        },
        _ => None,
    }
}

fn sleep_seconds(statement: &Statement) -> f64 {
    let mut seconds = 0.0;
    let _ = visit_expressions(statement, |expr| {
        if let Expr::Function(function) = expr
            && function.name.to_string().eq_ignore_ascii_case("pg_sleep")
        {
            let text = function.args.to_string();
            let number = text.trim_matches(|c| c == '(' || c == ')').parse();
            seconds += number.unwrap_or(0.0);
        }
        ControlFlow::<()>::Continue(())
    });
    seconds
}
